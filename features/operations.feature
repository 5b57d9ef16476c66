Feature: Draining, planned stops, priorities, fair shares and limits

  Planned stops must not interrupt requests, and an overload by one team or
  kind of request must not starve the others.

  Scenario Outline: A planned stop of <what> interrupts no request
    Given a system of 2 gateways, 2 agents and 3 controllers
    When callers send requests continuously and <what> begins a planned stop at 3 s
    Then every caller gets its own complete answer
    And the stopped process has exited, and started no work more than 3 s after the stop

    Examples:
      | what       |
      | an agent   |
      | a gateway  |
      | the leader |

  Scenario: A rolling restart of all boxes under load interrupts no request
    Given a system of 2 gateways, 2 agents and 3 controllers
    When callers send requests continuously and every box is restarted in turn
    Then every caller gets its own complete answer

  Scenario: An agent that drains rejects gateways that are not informed
    Given a system of 2 gateways, 2 agents and 3 controllers
    When an agent drains while no gateway can reach the controllers
    Then it starts no new work from then on

  Scenario: An agent that receives nothing from controllers starts no work
    Given a system of 2 gateways, 2 agents and 3 controllers
    When an agent renews but receives no answers while callers send requests
    Then it starts no new work once its lease has expired

  Scenario: Alarm pings do not wait behind drafting
    Given a system of 2 gateways, 2 agents and 3 controllers
    When drafting arrives at 5 times the capacity of the runners, with 5 pings a second
    Then no ping waits longer than 0.2 s and none is refused
    And refusals come at once, each with a time to retry, and these are spread

  Scenario: A large team does not starve a small one
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a large team sends 20 times as many requests as a small one of equal weight
    Then the small team gets at least 9 in 10 of its answers
    And the large team still uses the remaining capacity

  Scenario: Pings are limited, so that they can't starve drafting
    Given a system of 2 gateways, 2 agents and 3 controllers
    When pings arrive far above their limit during drafting
    Then no more pings run concurrently than their row allows
    And drafting still gets its answers

  Scenario Outline: The sum over gateways keeps to the limit: <fault>
    Given a system of 4 gateways, 2 agents and 3 controllers
    When a row limited to 12 concurrent requests is overloaded and <fault>
    Then no more than 12 requests run concurrently
    And at least 8 run concurrently for most of the time

    Examples:
      | fault                                     |
      | nothing fails                             |
      | demand moves between gateways             |
      | a gateway is killed and restarted         |
      | a gateway is cut off from the controllers |
      | the leader is killed                      |
      | the leader is cut off from all others     |

  # Guards against refusals by an unused limit while a renewal is late or the
  # leader is new, and against waits for a limit that other gateways use.
  Scenario Outline: The first request of a row is <result> when <fault>
    Given a system of 2 gateways, 2 agents and 3 controllers
    When the first request of a row arrives while <fault>
    Then the first request is <result> within <limit_s> s

    Examples:
      | fault                                       | result            | limit_s |
      | the leader's replies are 0.7 s late         | answered          | 1.2     |
      | the leader's replies are 2 s late           | answered          | 2.5     |
      | the gateway is cut off from the controllers | refused with 1203 | 3.0     |
      | another gateway uses the whole limit        | refused with 1200 | 0.6     |
      | another controller has just been elected    | answered          | 3.2     |
      | the leader is lost                          | answered          | 4.2     |

  Scenario: A stalled runner is detected and excluded, then probed and used again
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a runner stalls for 20 s while callers send requests
    Then at most 1 in 10 callers gets no answer
    And no caller waits longer than 20 s
    And the runner is used again within 40 s of its recovery

  Scenario: Retries stay within their budget when all runners break off answers
    Given a system of 2 gateways, 2 agents and 3 controllers
    When every runner breaks off every answer and 200 requests are sent
    Then the runners receive at most 1.25 times as many requests

  Scenario: Work for a vanished caller is cancelled at its runner
    Given a system of 2 gateways, 2 agents and 3 controllers
    When a caller disconnects in the middle of a long answer
    Then the runner stops that work within 1 s
