Feature: What a runner asks for in its answers holds for the gateway that got it

  # Seen: runners that turned all requests away, and asked for 3 s of rest,
  # got up to 4 more requests of the same gateway in that time, while a tenth
  # of the callers were refused beside free runners.
  # How: nothing runs on such a runner, so each report says that it is the
  # least loaded of all, and the next request goes there. A refusal closed the
  # whole group for 0.3 s, and second tries met another runner of that kind.
  # Cause: of an answer only its status and load were read; what it says of
  # its runner for the time to come was dropped.
  # Proof: the span that each refusal asked for, in the log beside the sends
  # that followed, none of which had waited on its way.

  Scenario: Some ranks of a group turn all requests away and ask for rest
    Given 3 gateways and 16 ranks of one group
    When 40 requests a second come for 14 s, and from 2 to 11 s 5 ranks ask for 3 s of rest
    Then no gateway has sent more than 2 requests into a rest
    And all requests are served

  Scenario: A rest outlives the registration of its runner
    Given 1 gateways and 2 ranks of one group
    When a rank asks for 3 s of rest and its registration is lost for 0.5 s
    Then no gateway has sent more than 2 requests into a rest

  Scenario: A later life of a runner has asked for nothing
    Given 1 gateways and 1 ranks of one group
    When a rank asks for 30 s of rest and starts again after 1 s
    Then its new life gets the next request

  Scenario: A runner says in its answers that it leaves
    Given 2 gateways and 3 ranks of one group
    When 20 requests a second come for 9 s, and a rank says so from 2 s on
    Then no gateway has sent it any request later than 0.5 s after its word
    And all requests are served

  Scenario: The word that it leaves outlives the registration of its runner
    Given 1 gateways and 2 ranks of one group
    When a rank says that it leaves and its registration is lost for 0.5 s
    Then no gateway has sent it any request later than 0.5 s after its word

  Scenario Outline: All runners rest, the first for <left_s> s more
    Given 1 gateways and 2 ranks of one group
    When both ask for <left_s> s of rest and then take requests, and one comes
    Then it is answered <status>, <took_s> s later
    And no gateway has sent more than 0 requests into a rest

    Examples:
      | left_s | status | took_s     |
      | 0.4    | 200    | 0.3 to 1.3 |
      | 4.0    | 503    | 0.0 to 0.1 |

  Scenario: What was placed before the word and leaves after it goes elsewhere
    Given 1 gateways and 2 ranks of one group, and requests with 1 try
    When 6 requests wait 0.3 s for a connection, and a rank asks for 3 s of rest
    Then that rank gets 1 of them
    And all 5 others are served

  Scenario: After its rest a runner gets one request until it has taken one
    Given 1 gateways and 1 ranks of one group
    When it asks for 2 s of rest, again and again, over a way of 0.8 s
    Then no gateway has sent more than 2 requests into a rest

  Scenario Outline: Where a second try goes <ago_s> s after a runner's rest
    Given a gateway that knows a runner that has rested, a busy and an idle one
    When a request was turned away by the fourth, <ago_s> s after that
    Then it goes to the <which> one

    Examples:
      | ago_s | which |
      | 1     | busy  |
      | 11    | idle  |

  Scenario: A runner that serves while it rests is used again once that is over
    Given 1 gateways and 1 ranks of one group
    When it takes a long request, asks for 1 s of rest, and 10 come after 1.2 s
    Then all 11 others are served

  Scenario Outline: The words of an answer <status> with <header>
    Then its head says a rest of <rest_s> s, and that it <leaves>

    Examples:
      | status | header               | rest_s  | leaves |
      | 503    | Retry-After: 3       | 3       | stays  |
      | 503    | Retry-After: 0.25    | 0.25    | stays  |
      | 429    | Retry-After: 2       | 2       | stays  |
      | 200    | Retry-After: 2       | no      | stays  |
      | 503    | Retry-After: -1      | unclear | stays  |
      | 503    | Retry-After: inf     | unclear | stays  |
      | 503    | Retry-After: nan     | unclear | stays  |
      | 503    | Retry-After: tonight | unclear | stays  |
      | 200    | X-Leaving: 1         | no      | leaves |
      | 503    | X-Leaving: 1         | no      | leaves |
      | 200    | X-Leaving: 0         | no      | stays  |

  Scenario Outline: A rest that is asked for as <asked>
    Then it lasts <lasts_s> s, and a shorter one later does not end it

    Examples:
      | asked   | lasts_s |
      | 3       | 3       |
      | unclear | 1       |
      | 1e9     | 3600    |

  Scenario: Words of many lives are kept within a bound, the latest ones
    When 5000 lives of runners ask for rest
    Then the words of 2000 are kept, with the latest

  Scenario: An agent's runner asks for rest and turns all away
    Given a system of 1 gateways, 2 agents and 3 controllers
    When one runner asks for 3 s of rest for 7 s, while 10 calls a second come
    Then that runner gets at most 2 requests into a rest
    And all calls have been answered whole
    And that runner has run some after it takes requests again

  Scenario: A call that is claimed where its agent's runner asks for rest
    Given a system of 1 gateways, 2 agents and 3 controllers
    When one runner asks for 3 s of rest for 4 s, and 20 calls with keys come
    Then all calls have been answered whole
    And each of them has run once

  Scenario: An agent's runner says that it leaves
    Given a system of 1 gateways, 2 agents and 3 controllers
    When one runner says that it leaves, while 10 calls a second come for 9 s
    Then that runner gets nothing later than 0.5 s after its word
    And all calls have been answered whole

  Scenario Outline: What waits at an agent, or is on its way, goes elsewhere
    Given a system of 1 gateways, 2 agents and 3 controllers
    When one runner asks for 3 s of rest from <from_s> s on, in 60 calls of 0.06 s
    Then all calls have been answered whole
    And none has taken longer than 1.5 s

    Examples: While the agent is idle, and once calls wait there
      | from_s |
      | 0.0    |
      | 0.045  |
