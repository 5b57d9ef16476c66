Feature: Gateways comply with a backoff or departure that a runner announces

  A runner that refuses all requests has none running, so its reports make it
  the least loaded one. Without the backoff, requests keep being sent to it.

  Scenario: Ranks that request a backoff get hardly any requests during it
    Given 3 gateways and 16 ranks of one group
    When 40 requests a second arrive for 14 s, and 5 ranks request a backoff of 3 s from 2 to 11 s
    Then no gateway has sent more than 2 requests during a backoff
    And all requests are served

  Scenario: A backoff outlasts the registration of its runner
    Given 1 gateways and 2 ranks of one group
    When a rank requests a backoff of 3 s and its registration is lost for 0.5 s
    Then no gateway has sent more than 2 requests during a backoff

  Scenario: A backoff does not apply to a later incarnation of the runner
    Given 1 gateways and 1 ranks of one group
    When a rank requests a backoff of 30 s and restarts after 1 s
    Then its new incarnation gets the next request

  Scenario: A runner that announces its departure gets no further requests
    Given 2 gateways and 3 ranks of one group
    When 20 requests a second arrive for 9 s, and a rank announces it from 2 s on
    Then no gateway has sent it any request later than 0.5 s after that
    And all requests are served

  Scenario: An announced departure outlasts the registration of its runner
    Given 1 gateways and 2 ranks of one group
    When a rank announces that it leaves and its registration is lost for 0.5 s
    Then no gateway has sent it any request later than 0.5 s after that

  # Guards against departures and backoffs that are forgotten with a
  # registration that times out and returns.
  Scenario Outline: A runner that <announces> is registered anew, without a restart
    Given 1 gateways and 2 ranks of one group
    When a rank <announces>, and its registration times out and returns
    Then that rank gets nothing more

    Examples:
      | announces                |
      | announces that it leaves |
      | requests a backoff       |

  Scenario Outline: All runners back off, the first for <left_s> s more
    Given 1 gateways and 2 ranks of one group
    When both request a backoff of <left_s> s and then accept requests, and one arrives
    Then it is answered <status>, <took_s> s later
    And no gateway has sent more than 0 requests during a backoff

    Examples:
      | left_s | status | took_s     |
      | 0.4    | 200    | 0.3 to 1.3 |
      | 4.0    | 503    | 0.0 to 0.1 |

  Scenario: A request assigned before a backoff but not yet sent goes elsewhere
    Given 1 gateways and 2 ranks of one group, and requests with 1 attempt
    When 6 requests wait 0.3 s for a connection, and a rank requests a backoff of 3 s
    Then that rank gets 1 of them
    And all 5 others are served

  Scenario: After a backoff a runner gets one request at a time until it accepts one
    Given 1 gateways and 1 ranks of one group
    When it repeatedly requests a backoff of 2 s, with a latency of 0.8 s
    Then no gateway has sent more than 2 requests during a backoff

  Scenario Outline: A retry <ago_s> s after a runner's backoff goes to the <which> runner
    Given a gateway that knows a runner that has backed off, a busy and an idle one
    When a fourth runner has refused a request, <ago_s> s after that
    Then it goes to the <which> one

    Examples:
      | ago_s | which |
      | 1     | busy  |
      | 11    | idle  |

  Scenario: A runner that serves requests during its backoff is used again afterwards
    Given 1 gateways and 1 ranks of one group
    When it accepts a long request, requests a backoff of 1 s, and 10 arrive after 1.2 s
    Then all 11 others are served

  Scenario Outline: The head of a response <status> with <header>
    Then it is parsed as a backoff of <backoff_s> s, and that the runner <leaves>

    Examples:
      | status | header               | backoff_s | leaves |
      | 503    | Retry-After: 3       | 3         | stays  |
      | 503    | Retry-After: 0.25    | 0.25      | stays  |
      | 429    | Retry-After: 2       | 2         | stays  |
      | 200    | Retry-After: 2       | no        | stays  |
      | 503    | Retry-After: -1      | invalid   | stays  |
      | 503    | Retry-After: inf     | invalid   | stays  |
      | 503    | Retry-After: nan     | invalid   | stays  |
      | 503    | Retry-After: tonight | invalid   | stays  |
      | 200    | X-Leaving: 1         | no        | leaves |
      | 503    | X-Leaving: 1         | no        | leaves |
      | 200    | X-Leaving: 0         | no        | stays  |

  Scenario Outline: A backoff that is requested as <asked>
    Then it lasts <lasts_s> s, and a shorter one later does not end it

    Examples:
      | asked   | lasts_s |
      | 3       | 3       |
      | invalid | 1       |
      | 1e9     | 3600    |

  Scenario: Backoffs of a limited number of incarnations are kept, the latest ones
    When 5000 incarnations of runners request a backoff
    Then the backoffs of 2000 are kept, with the latest

  Scenario: An agent's runner that requests a backoff gets hardly any calls during it
    Given a system of 1 gateways, 2 agents and 3 controllers
    When one runner requests a backoff of 3 s for 7 s, while 10 calls a second arrive
    Then that runner gets at most 2 requests during a backoff
    And all calls have been answered completely
    And that runner has run some after it accepts requests again

  Scenario: A call that is claimed where its agent's runner requests a backoff runs once
    Given a system of 1 gateways, 2 agents and 3 controllers
    When one runner requests a backoff of 3 s for 4 s, and 20 calls with keys arrive
    Then all calls have been answered completely
    And each of them has run once

  Scenario: An agent's runner that announces its departure gets no further calls
    Given a system of 1 gateways, 2 agents and 3 controllers
    When one runner announces that it leaves, while 10 calls a second arrive for 9 s
    Then that runner gets nothing later than 0.5 s after that
    And all calls have been answered completely

  Scenario Outline: Calls that wait at an agent, or are on their way to it, go elsewhere
    Given a system of 1 gateways, 2 agents and 3 controllers
    When one runner requests a backoff of 3 s from <from_s> s on, in 60 calls over 0.06 s
    Then all calls have been answered completely
    And none has taken longer than 1.5 s

    Examples: While the agent is idle, and once calls wait at it
      | from_s |
      | 0.0    |
      | 0.045  |
