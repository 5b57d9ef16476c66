Feature: Where routed requests go, by what each gateway knows

  Scenario Outline: Gateways with the same reports do not crowd one runner
    Given <gateways> gateways and 16 runners of 6 slots
    And <free> of the runners have 2 requests and the others have 3
    When each gateway sends <rate> requests a second for 20 s, and each takes 1.5 s
    Then at most <most> in 100 requests are the third or later of a runner in 0.15 s

    Examples:
      | gateways | free | rate | most |
      | 11       | 1    | 5    | 30   |
      | 11       | 4    | 5    | 30   |
      | 37       | 4    | 2    | 45   |

  Scenario: A gateway that is alone takes the least loaded runner
    Given 1 gateways and 16 runners of 6 slots
    And 1 of the runners have 2 requests and the others have 3
    When each gateway sends one request
    Then it went to the runner with 2 requests
