Feature: Complete answers, correct errors and resumed streams despite runner faults

  A repeated unsafe request, or a truncated answer that looks complete, is
  worse for a caller than an error.

  Scenario Outline: A <kind> request whose first runner <fault>
    Given two runners of which the first <fault>
    When a <kind> request is sent
    Then its answer is <answer>
    And the runners ran it <runs> times
    And no runner received the caller's key, and each received the remaining time

    Examples:
      | kind      | fault                               | answer                  | runs |
      | safe      | answers correctly                   | 200 and complete        | 1    |
      | unsafe    | answers correctly                   | 200 and complete        | 1    |
      | streaming | answers correctly                   | 200 and complete        | 1    |
      | safe      | reports that it has not run it      | 200 and complete        | 1    |
      | unsafe    | reports that it has not run it      | 200 and complete        | 1    |
      | streaming | reports that it has not run it      | 200 and complete        | 1    |
      | unsafe    | reports that it is another instance | 200 and complete        | 1    |
      | safe      | closes without an answer            | 200 and complete        | 2    |
      | unsafe    | closes without an answer            | 502 and outcome unknown | 1    |
      | safe      | truncates its answer                | 200 and complete        | 2    |
      | unsafe    | truncates its answer                | 502                     | 1    |
      | streaming | truncates its answer                | 200 and complete        | 2    |
      | streaming | truncates an event                  | 200 and complete        | 2    |
      | streaming | leaves out an event, in a length    | 200 and complete        | 2    |
      | safe      | fails while running it              | 200 and complete        | 2    |
      | unsafe    | fails while running it              | 500 from the runner     | 1    |
      | unsafe    | first answers an earlier request    | 200 and complete        | 1    |
      | unsafe    | first answers no request            | 200 and complete        | 1    |
      | safe      | sends a head of no request          | 200 and complete        | 2    |
      | unsafe    | sends a head of no request          | 502                     | 1    |
      | unsafe    | sends more data after its answer    | 200 and complete        | 1    |
      | unsafe    | sends no length and closes          | 200 and complete        | 1    |
      | safe      | sends no length and crashes         | 200 and complete        | 2    |
      | unsafe    | sends no length and crashes         | 502                     | 1    |
      | unsafe    | sends no length and ends 20 ms later    | 502              | 1    |
      | unsafe    | sends no length and resets 3 as it ends | 502              | 1    |
      | safe      | sends no length and ends 20 ms later    | 200 and complete | 2    |
      | unsafe    | sends a length and crashes          | 200 and complete        | 1    |
      | unsafe    | cannot be reached                   | 200 and complete        | 1    |
      | safe      | never answers                       | 504 and outcome unknown | 1    |
      | unsafe    | never answers                       | 504 and outcome unknown | 1    |

  # Guards against streams that a runner broke off and that reach the caller
  # with the end of a complete one.
  Scenario Outline: A <kind> request whose runner's stream <fault>
    Given two runners of which the first <fault>
    When a <kind> request is sent
    Then its answer is <answer>
    And the runners ran it <runs> times

    Examples:
      | kind           | fault                                         | answer                            | runs |
      | streaming      | closes within an event, with no length        | 200 and complete                  | 2    |
      | streaming      | closes before its first event, with no length | 200 and complete                  | 2    |
      | streaming      | ends between two events, with no length       | 200 and complete                  | 2    |
      | streaming      | sends its last chunk within an event          | 200 and complete                  | 2    |
      | streaming      | sends a length that ends within an event      | 200 and complete                  | 2    |
      | streaming-once | closes within an event, with no length        | 200, 2 events, without an end     | 1    |
      | streaming-once | closes before its first event, with no length | 200, 0 events, without an end     | 1    |
      | streaming-once | ends between two events, with no length       | 200, 2 events, without an end     | 1    |
      | streaming-once | sends its last chunk within an event          | 200, 2 events, without an end     | 1    |
      | streaming-once | sends a length that ends within an event      | 200, 2 events, without an end     | 1    |
      | streaming      | closes after its last event, with no length   | 200 and complete                  | 1    |
      | streaming-once | closes after its last event, with no length   | 200 and complete                  | 1    |
      | streaming-once | ends with a comment, with no length           | 200 and its comment               | 1    |
      | streaming-once | is one JSON object, with no length            | 200 and the object                | 1    |
      | streaming      | closes after a comment, with no length        | 200, a comment and all events     | 2    |
      | streaming      | closes after a retry time, with no length     | 200, a retry time and all events  | 2    |

  # Guards against events that a caller gets twice: a run that goes on after the
  # last number repeats the events that have none.
  Scenario Outline: A stream that breaks off after events <numbered>
    Given two runners of which the first truncates a stream of events <numbered>
    When a streaming request is sent
    Then its answer is <answer>
    And the runners ran it <runs> times

    Examples:
      | numbered                      | answer                           | runs |
      | without numbers               | 200, and no event after the cut  | 1    |
      | of which the last has none    | 200, and no event after the cut  | 1    |

  # Guards against streams of a media type with parameters that are not read
  # as events, and against empty streams that are taken for broken off.
  Scenario Outline: A stream that <does>
    Given two runners of which the first <does>
    When a streaming request is sent
    Then its answer is <answer>
    And the runners ran it <runs> times

    Examples:
      | does                                                           | answer           | runs |
      | names its media type and ends within an event, with no length | 200 and complete | 2    |
      | sends a length of no event                                     | 200 and empty    | 1    |

  # Guards against a crash that is missed because the process closes its
  # connections before its listening socket, which accepts one more.
  Scenario: A stream whose runner crashes and accepts one more connection
    Given two runners of which the first ends between two events, its listening socket last, with no length
    When a streaming-once request is sent
    Then its answer is 200, 2 events, without an end

  # Guards against answers that count for ever, so that later ones are not held.
  Scenario Outline: An answer of a runner that <fault> counts nothing once it is sent
    Given two runners of which the first <fault>
    When a safe request is sent
    Then no bytes of answers are held

    Examples:
      | fault                       |
      | answers correctly           |
      | truncates its answer        |
      | fails while running it      |
      | sends no length and crashes |

  # Guards against streams that never end for a caller that has all events.
  Scenario Outline: A stream <first> is complete if the next runner has no more events
    Given two runners of which the first <first>
    And the second ends all streams with no length
    When a streaming request is sent, to go on after event <number>
    Then its answer is <answer>
    And the runners ran it 2 times

    Examples:
      | first                                       | number | answer                  |
      | has all events, its process ends, no length | 0      | 200 and complete        |
      | has no more events, with no length          | 5      | 200, 0 events, complete |

  # Guards against whole answers that are lost because the check for a crash of
  # their runner takes longer than their callers wait.
  Scenario: A whole answer is delivered though its runner accepts no more in time
    Given two runners of which the first sends no length and closes
    And neither accepts a further connection in time
    When a safe request is sent with a deadline of 300 ms, and answered after 250 ms
    Then its answer is 200 and complete
    And the runners ran it 1 times

  # Guards against parts of answers that are delivered as whole ones because
  # their runner was to end, and against whole ones that are lost where it
  # still runs as they end.
  Scenario Outline: A runner that drains and ends with its answer: <first>
    Given two runners of which the first <first>
    When a <kind> request is sent and that runner starts to drain
    Then its answer is <answer>
    And the runners ran it <runs> times

    Examples:
      | kind           | first                                       | answer           | runs |
      | unsafe         | sends no length and crashes                 | 502              | 1    |
      | unsafe         | sends all with no length and crashes        | 502              | 1    |
      | unsafe         | sends no length and ends 20 ms later        | 502              | 1    |
      | unsafe         | sends no length and resets 3 as it ends     | 502              | 1    |
      | unsafe         | sends no length and closes                  | 200 and complete | 1    |
      | unsafe         | sends a length and crashes                  | 200 and complete | 1    |
      | safe           | sends no length and crashes                 | 200 and complete | 2    |
      | streaming-once | ends between two events, with no length     | 200, 2 events, without an end | 1    |
      | streaming-once | has all events, its process ends, no length | 200, 5 events, without an end | 1    |
      | streaming-once | closes after its last event, with no length | 200 and complete | 1    |
      | streaming      | ends between two events, with no length     | 200 and complete | 2    |

  # Guards against planned ends that count against the requests they cut off.
  Scenario Outline: The end of a runner that <state> counts as <count> crashes
    Given two runners of which the first sends no length and crashes
    When a request that may run once is sent and that runner <state>
    Then <count> crashes have been counted

    Examples:
      | state           | count |
      | starts to drain | 0     |
      | stays ready     | 1     |

  # Guards against streams that a request which crashes its runners ends as
  # complete, which also clears the record of its crashes.
  Scenario: A stream that two runners break off after the same event, as they crash
    Given two runners of which the first ends between two events, with no length
    And the second does the same
    When a streaming request is sent
    Then its answer is 200, 2 events, without an end
    And 2 crashes have been counted

  # Guards against requests that crash a runner after it has sent a comment, and
  # are then taken for streams that have begun.
  Scenario: A comment does not begin a stream
    Given two runners of which the first closes after a comment, with no length
    When a streaming request is sent
    Then 5 events of it are counted as sent

  # Guards against two new connections for each answer without a length.
  Scenario: A connection that shows that a runner still runs serves its next request
    Given two runners of which the first sends no length and closes
    When a unsafe request is sent twice
    Then the first runner has received 2 of them
    And the first runner has accepted 3 connections

  # Guards against retries that are refused although no runner has received
  # the request, and against sends beyond the first that are not counted.
  Scenario Outline: With no retries left, a request whose first runner <fault>
    Given two runners of which the first <fault>
    And no retries are left in the budget
    When a <kind> request is sent
    Then its answer is <answer>
    And the runners ran it <runs> times

    Examples:
      | kind      | fault                          | answer           | runs |
      | safe      | cannot be reached              | 200 and complete | 1    |
      | unsafe    | cannot be reached              | 200 and complete | 1    |
      | streaming | cannot be reached              | 200 and complete | 1    |
      | safe      | reports that it has not run it | 503              | 0    |
      | safe      | closes without an answer       | 502              | 1    |

  Scenario: A request that may have run is not reported as not run after a refusal
    Given a runner that closes without an answer, and one that reports that it has not run it
    When a safe request is sent
    Then its answer is 502 and outcome unknown

  Scenario: A replaced runner gets no further requests
    Given two runners of which the first reports that it is another instance
    When a safe request is sent twice
    Then the first runner has received 1 of them

  Scenario: Misdirected attempts do not use up a request's attempts
    Given four runners of which all but the last report that they are other instances
    When a unsafe request is sent
    Then its answer is 200 and complete
    And the runners ran it 1 times

  Scenario Outline: A request that arrives before any runner has registered waits a limited time
    Given two runners of which the first answers correctly
    When a <kind> request is sent <early> s before they register
    Then its answer is <answer>

    Examples:
      | kind   | early | answer           |
      | unsafe | 0.5   | 200 and complete |
      | unsafe | 2.0   | 503              |

  Scenario Outline: A stream moves only if its runner becomes much slower: <slowdown> times
    Given two runners of which the first pauses after 2 events
    When a streaming request is sent and that runner slows down <slowdown> times
    Then its answer is 200 and complete
    And the runners ran it <runs> times

    Examples:
      | slowdown | runs |
      | 5.0      | 2    |
      | 1.5      | 1    |

  Scenario: A process that is shutting down refuses new requests
    Given two runners of which the first answers correctly
    When a streaming request arrives when new ones are refused
    Then its answer is 503
    And the runners ran it 0 times

  Scenario Outline: A request to a process that has no routes yet waits a limited time
    Given two runners of which the first answers correctly
    When a safe request arrives <before_s> s before the first routes
    Then its answer is <answer>

    Examples:
      | before_s | answer           |
      | 0.2      | 200 and complete |
      | 5        | 503              |

  Scenario: A request that a closed group refuses waits until it opens
    Given two ranks of a closed group
    When a streaming request is sent and a load report shows the group open
    Then its answer is 200 and complete
    And the runners ran it 1 times

  Scenario Outline: A request to a group that has been closed for <closed_s> s is refused
    Given two ranks of a closed group
    When a streaming request is sent after <closed_s> s of reports that it is closed
    Then its answer is 503
    And it was returned <when>, with a Retry-After header
    And no runner has received it

    Examples:
      | closed_s | when            |
      | 0.5      | after some wait |
      | 5        | at once         |

  Scenario: A caller that disconnects cancels its request
    Given two runners of which the first never answers
    When a safe request is sent and its caller disconnects after 0.2 s
    Then the runner's connection is closed within 0.5 s
    And it is reset, so that data not read by the runner is dropped

  Scenario Outline: An invalid or unauthorized request is refused with a status
    Given two runners of which the first answers correctly
    When one caller <does>
    Then it is answered with <status> and no runner ran it

    Examples:
      | does                            | status |
      | sends no key                    | 401    |
      | sends a key of no team          | 401    |
      | requests a path without a route | 404    |
      | sends a head of 20000 bytes     | 431    |
      | sends a body of 3000 bytes      | 413    |
      | sends half a head and waits     | 408    |
      | sends an invalid request        | 400    |

  # Guards against errors with a body in answer to HEAD, which the protocol does
  # not allow: the connection was closed without an answer.
  Scenario Outline: A HEAD request that <does> is answered with <status>
    Given two runners of which the first answers correctly
    When a HEAD request <does>, and a GET request follows on its connection
    Then they are answered with <status> without a body and with 200

    Examples:
      | does                            | status |
      | sends no key                    | 401    |
      | requests a path without a route | 404    |
      | gets no answer in time          | 504    |
      | is answered                     | 200    |

  # Guards against requests that are refused by limits which are in force no more.
  Scenario Outline: A kept connection waits while the limit of heads is <change>
    Given two runners of which the first answers correctly
    When a connection has served a request, and the limit of heads is then <change>
    Then a head of 12000 bytes that comes in two parts is answered with <status>

    Examples:
      | change          | status |
      | raised to 16000 | 200    |
      | left at 8192    | 431    |
      | lowered to 4000 | 431    |

  # Guards against events that are passed on only at the end of their stream.
  Scenario Outline: A stream whose lines end with <line_end> is split into its events
    When a stream of 5 events whose lines end with <line_end> arrives in pieces of <size> bytes
    Then each event is complete when the first piece after its blank line has arrived
    And its pieces add up to what arrived

    Examples:
      | line_end | size |
      | LF       | 1    |
      | LF       | 7    |
      | CRLF     | 1    |
      | CRLF     | 7    |
      | CR       | 1    |
      | CR       | 7    |

  # Guards against a short body that passes as complete: the system reports a
  # reset once, to the send that it ends, and a close from then on.
  Scenario Outline: An answer with <framing> that begins while its request is sent, then a reset
    When a runner answers a request of 16000000 bytes early, with <framing>, and resets the connection
    Then reading the answer <result>

    Examples:
      | framing                 | result                 |
      | no length               | fails with 1301        |
      | a length, cut short     | fails with 1301        |
      | a length, whole         | returns all of it      |
