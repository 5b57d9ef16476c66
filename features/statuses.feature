Feature: A status that HTTP does not have is no answer

  Statuses are three digits from 100 to 599, those of answers from 200. What
  carries another one counts as an answer that was broken off: it is retried
  where the request may be repeated, and no caller gets it.

  # Guards against callers that get the answer of a runner in trouble with a
  # status such as 000 or 999, as if it had meant to give it.
  Scenario Outline: A runner answers with status <status>
    Given a runner whose answers have status <status>, framed in any way
    Then a safe request gets whole
    And an unsafe request gets 502
    And a stream that may be resumed gets whole
    And a stream that may not be resumed gets 502

    Examples: below, among and above those of HTTP, and no numbers
      | status |
      | 000    |
      | 001    |
      | 099    |
      | 600    |
      | 777    |
      | 999    |
      | 20     |
      | 2000   |
      | -20    |
      | +200   |
      | 2OO    |
      | none   |

  # Guards against a runner that is not counted as failing by such answers, and
  # against requests that are sent on the connection that brought one.
  Scenario Outline: A runner that goes on to answer with status <status>
    Given a runner whose answers have status <status>, framed in any way
    When safe requests are sent one after the other
    Then it is sent some of them, each on a new connection, and then none
    And its failed attempts are logged with code 1302

    Examples:
      | status |
      | 000    |
      | 999    |

  # Guards against the same answers behind an agent.
  Scenario Outline: An agent's runner answers with status <status>
    When an agent reads an answer with status <status>
    Then it fails with OutcomeUnknown

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
      | 2000   |

  # Guards against a refusal or a success that is read into such a status.
  Scenario Outline: An engine answers with status <status>
    When an engine answers all calls with status <status>
    Then the order has an unknown outcome, and the others have none

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
      | 2000   |

  # Guards against statuses of HTTP that are taken for broken answers.
  Scenario Outline: A runner answers a safe request with status <status>
    Given a runner whose answers have status <status>, framed in any way
    Then a safe request gets <outcome>

    Examples: an error is returned where no retry has a better answer
      | status | outcome |
      | 200    | whole   |
      | 299    | 299     |
      | 404    | 404     |
      | 499    | 499     |
      | 500    | whole   |
      | 599    | whole   |
