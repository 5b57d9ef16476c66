Feature: Whole answers, true refusals, and resumed streams, whatever a runner does

  Scenario Outline: A <kind> request whose first runner <fault>
    Given two runners of which the first <fault>
    When a <kind> request is sent
    Then its answer is <answer>
    And the runners ran it <runs> times
    And the caller's key reached no runner, and each was told what time is left

    Examples:
      | kind      | fault                                | answer            | runs |
      | safe      | answers well                         | 200 and whole     | 1    |
      | unsafe    | answers well                         | 200 and whole     | 1    |
      | streaming | answers well                         | 200 and whole     | 1    |
      | safe      | says that it has not run it          | 200 and whole     | 1    |
      | unsafe    | says that it has not run it          | 200 and whole     | 1    |
      | streaming | says that it has not run it          | 200 and whole     | 1    |
      | unsafe    | says that another runner was meant   | 200 and whole     | 1    |
      | safe      | closes with no answer                | 200 and whole     | 2    |
      | unsafe    | closes with no answer                | 502 and unknown   | 1    |
      | safe      | breaks off its answer                | 200 and whole     | 2    |
      | unsafe    | breaks off its answer                | 502               | 1    |
      | streaming | breaks off its answer                | 200 and whole     | 2    |
      | streaming | breaks off inside an event           | 200 and whole     | 2    |
      | safe      | fails while it runs it               | 200 and whole     | 2    |
      | unsafe    | fails while it runs it               | 500 of the runner | 1    |
      | unsafe    | first answers an earlier request     | 200 and whole     | 1    |
      | unsafe    | sends more behind its answer         | 200 and whole     | 1    |
      | unsafe    | tells no length and closes           | 200 and whole     | 1    |
      | unsafe    | cannot be reached                    | 200 and whole     | 1    |
      | safe      | never answers                        | 504 and unknown   | 1    |
      | unsafe    | never answers                        | 504 and unknown   | 1    |

  Scenario: What may have run is not called not run after another refusal
    Given a runner that closes with no answer, and one that says that it has not run it
    When a safe request is sent
    Then its answer is 502 and unknown

  Scenario: A runner that was replaced is not asked again
    Given two runners of which the first says that another runner was meant
    When a safe request is sent twice
    Then the first runner has seen 1 of them

  Scenario: Runners that were replaced do not use up a request's tries
    Given four runners of which all but the last say that another runner was meant
    When a unsafe request is sent
    Then its answer is 200 and whole
    And the runners ran it 1 times

  Scenario Outline: A request that comes before any runner has registered
    Given two runners of which the first answers well
    When a <kind> request is sent <early> s before they register
    Then its answer is <answer>

    Examples:
      | kind   | early | answer        |
      | unsafe | 0.5   | 200 and whole |
      | unsafe | 2.0   | 503           |

  Scenario Outline: A stream whose runner becomes <pace> times slow
    Given two runners of which the first stops after 2 events for a while
    When a streaming request is sent and that runner takes <pace> times its time
    Then its answer is 200 and whole
    And the runners ran it <runs> times

    Examples:
      | pace | runs |
      | 5.0  | 2    |
      | 1.5  | 1    |

  Scenario: A process that is about to end takes no request that it would cut
    Given two runners of which the first answers well
    When a streaming request comes after the time for new ones
    Then its answer is 503
    And the runners ran it 0 times

  Scenario Outline: A request to a process that knows no routes yet
    Given two runners of which the first answers well
    When a safe request comes <before_s> s before the first routes
    Then its answer is <answer>

    Examples:
      | before_s | answer        |
      | 0.2      | 200 and whole |
      | 5        | 503           |

  Scenario: A request that a closed group refuses waits until it opens
    Given two ranks of a group that is closed
    When a streaming request is sent and a report says that it has opened
    Then its answer is 200 and whole
    And the runners ran it 1 times

  Scenario Outline: A request to a group that has been closed for <closed_s> s
    Given two ranks of a group that is closed
    When a streaming request is sent after reports of that for <closed_s> s
    Then its answer is 503
    And it came <when> and tells when to come back
    And no runner has seen it

    Examples:
      | closed_s | when            |
      | 0.5      | after some wait |
      | 5        | at once         |

  Scenario: A caller that leaves ends the work
    Given two runners of which the first never answers
    When a safe request is sent and its caller leaves after 0.2 s
    Then the runner's connection is closed within 0.5 s
    And it is reset, so that what the runner has not read is dropped

  Scenario Outline: What a caller may not do is refused with a code
    Given two runners of which the first answers well
    When one caller <does>
    Then it is answered <status> and nothing ran

    Examples:
      | does                                    | status |
      | sends no key                            | 401    |
      | sends a key that no team holds          | 401    |
      | asks for a path with no route           | 404    |
      | sends a head of 20000 bytes             | 431    |
      | sends a body of 3000 bytes              | 413    |
      | sends half a head and waits             | 408    |
      | sends what is no request                | 400    |
