Feature: Gateways together keep to the limit that a runner names

  A runner in need names how many requests a second it takes from all gateways
  together. Gateways that got such an answer send it no more, with no message
  between them: more breaks the runner, and its group with it.

  Scenario Outline: <count> gateways, a limit of <per_s> a second, <fault>
    Each gateway sends the runner as much as it may, all at the same time.
    Given a runner that names a limit of <per_s> requests a second
    When <count> gateways send it as much as they may, and <fault>
    Then in any 4 s it gets at most <over> times its limit and 5 requests
    And in 4 s it gets at least <some> times its limit

    Examples:
      | count | per_s | fault                          | over | some |
      | 1     | 10    | nothing fails                  | 1.2  | 0.6  |
      | 2     | 1     | nothing fails                  | 1.2  | 0.6  |
      | 3     | 0     | nothing fails                  | 1.2  | 0    |
      | 3     | 0.2   | nothing fails                  | 1.2  | 0.6  |
      | 3     | 8     | nothing fails                  | 1.2  | 0.6  |
      | 39    | 0     | nothing fails                  | 1.2  | 0    |
      | 39    | 1     | nothing fails                  | 1.2  | 0.6  |
      | 39    | 20    | nothing fails                  | 1.2  | 0.6  |
      | 39    | 1     | the limit rises and falls      | 1.5  | 0.6  |
      | 39    | 1     | each answer has its own limit  | 1.5  | 0.6  |
      | 39    | 1     | gateways restart               | 1.2  | 0.6  |
      | 39    | 20    | gateways restart               | 1.2  | 0.6  |
      | 39    | 1     | gateways join                  | 1.2  | 0.6  |
      | 39    | 1     | halves never knew of the other | 1.5  | 0.6  |
      | 39    | 8     | halves never knew of the other | 1.5  | 0.6  |
      | 39    | 1     | a gateway is suspended         | 1.2  | 0.6  |
      | 390   | 0     | gateways restart               | 1.2  | 0    |
      | 390   | 2     | halves never knew of the other | 1.5  | 0.6  |

  Scenario: The limit holds in random schedules of 2 to 390 gateways
    Then in random schedules with several faults any 4 s keep to the limit

  Scenario: Gateways without a share learn that a limit has ended
    Given a runner that names a limit of 0 requests a second
    When 39 gateways know of it for 1300 s, and then it names none for 1300 s
    Then in any 4 s it gets at most 1.2 times its limit and 5 requests
    And no gateway knows a limit any more

  Scenario: A gateway that has just started does not know the others
    Given a gateway that started 1 s ago, and a lease of 3 s
    When a runner names a limit of 8 requests a second
    Then the gateway sends it nothing for 4 s

  Scenario Outline: Two different sets of owners keep to any limit, <count> gateways
    Then twice the shares of all owners of <count> gateways keep to any limit

    Examples:
      | count |
      | 1     |
      | 3     |
      | 39    |
      | 390   |

  Scenario: Three gateways, one of which hears first
    Given 3 gateways and 4 ranks, and a common view
    And the first rank names a limit of 1 a second
    When 30 requests a second arrive for 12 s, at first only at one gateway
    Then in any 4 s the first rank gets at most 1.2 times 1 and 5 requests
    And the first rank gets 6 requests or more
    And all requests are served

  Scenario: 39 gateways and a limit of 1 a second
    Given 39 gateways and 16 ranks, and a common view
    And the first rank names a limit of 1 a second
    When 100 requests a second arrive for 10 s
    Then in any 4 s the first rank gets at most 1.2 times 1 and 5 requests
    And all requests are served

  Scenario: A limited runner restarts and names no limit
    Given 1 gateways and 2 ranks, and a common view
    And the first rank names a limit of 0 a second
    When 10 requests a second arrive for 5 s, and it restarts after 2 s
    Then its new incarnation gets a request within 0.5 s
    And the gateway keeps no limit

  Scenario: The registration of a limited runner times out and returns
    Given 1 gateways and 2 ranks, and a common view
    And the first rank names a limit of 0 a second
    When 10 requests a second arrive for 5 s, and it is registered again after 2 s
    Then in any 4 s the first rank gets at most 0 times 1 and 2 requests

  Scenario: A runner that names no limit any more gets its full rate within 2 s
    Given 1 gateways and 2 ranks, and a common view
    And the first rank names a limit of 1 a second
    When 10 requests a second arrive for 16 s, and it names none after 6 s
    Then it gets 2 requests or less in the second after the next answer
    And it gets 8 requests or more within 2 s from 2 s after the next answer

  Scenario: All runners name no limit any more
    Given 1 gateways and 2 ranks, and a common view
    And all ranks name a limit of 1 a second
    When 10 requests a second arrive for 12 s, and all name none after 6 s
    Then all refusals are 1215, and none comes from 2 s after the next answer on

  Scenario Outline: A limit that is <what> changes nothing
    Given 1 gateways and 2 ranks, and a common view
    And the first rank names a limit of <value> a second
    When 10 requests a second arrive for 4 s
    Then the first rank gets 12 requests or more
    And the gateway keeps no limit

    Examples:
      | what      | value |
      | malformed | two   |
      | negative  | -1    |
      | infinite  | inf   |
      | huge      | 1e9   |

  Scenario Outline: A limit of 1 a second, and then an answer with <value>
    Given 1 gateways and 2 ranks, and a common view
    And the first rank names a limit of 1 a second
    When 10 requests a second arrive for 10 s, and it names <value> after 2 s
    Then in any 4 s the first rank gets at most 1.2 times 1 and 5 requests

    Examples:
      | value |
      | two   |
      | -1    |
      | nan   |

  Scenario: Requests selected before a limit was named but not yet sent
    Given 1 gateways and 2 ranks, and a common view
    And the first rank names a limit of 1 a second
    When 6 requests wait 0.3 s for a connection to it, and one has its answer
    Then the first rank gets 1 requests
    And all requests are served

  Scenario: The only runner names a limit while requests wait for a connection
    Given 1 gateways and 1 ranks, and a common view
    And the first rank names a limit of 0.5 a second
    When 6 requests wait 0.3 s for a connection to it, and one has its answer
    Then the first rank gets 1 requests
    And all refusals are 1215, and 5 requests are refused

  Scenario Outline: A request is selected under a limit, and before it is sent <change>
    Given one of two owners of a runner with a limit of 0.2 a second
    When it selects the runner for a request, and <change>
    Then the request <outcome>

    Examples:
      | change                             | outcome      |
      | 0.3 s pass                         | is sent      |
      | its box is suspended for 0.6 s     | is held back |
      | the limit falls to 0.15            | is held back |
      | the limit ends                     | is sent      |
      | two others become the owners       | is held back |

  Scenario: Another runner at the address names its own limit
    Given 1 gateways and 3 ranks, and a common view
    And the second rank answers at the address of the first, with a limit of 0
    When 10 requests a second arrive for 4 s
    Then the first rank gets 1 requests
    And the second rank gets 0 requests
    And the gateway knows no limit of the first rank

  Scenario Outline: A request that <what>
    Given a gateway that may send a request to a runner with a limit of 0.5 a second
    When it selects the runner for a request that <what>
    Then it may select it again after <after_s> s

    Examples:
      | what                        | after_s |
      | reaches it                  | 2       |
      | is given up before it began | 0       |
      | another runner answers      | 0       |

  Scenario: A runner that answers a request for another one has got a request
    Given a gateway that may send a request to a runner with a limit of 0.5 a second
    When the runner answers a request for another one
    Then it may select it again after 2 s

  Scenario Outline: An answer <which> does not end or raise a limit
    Given a gateway that knows a limit of 1 a second
    When an answer <which> names <limit>
    Then the limit is <after> a second

    Examples:
      | which                             | limit | after |
      | to a request sent before the last | no    | 1     |
      | to a request sent before the last | 5     | 1     |
      | to a request sent before the last | 0.5   | 0.5   |
      | to a request sent after the last  | 5     | 5     |
      | to a request sent after the last  | no    | no    |

  Scenario Outline: All runners name a limit, the next request is due in <due_s> s
    Given 1 gateways and 2 ranks, and a common view
    And all ranks name a limit of 0.5 a second
    When both have named it and one request arrives <due_s> s before one is due
    Then it is answered <status> in <least_s> to <most_s> s

    Examples:
      | due_s | status | least_s | most_s |
      | 0.5   | 200    | 0.5     | 1.2    |
      | 0.9   | 200    | 0.9     | 1.6    |
      | 1.2   | 503    | 0.0     | 0.1    |

  Scenario: Of those that wait for a limited runner the most urgent is sent first
    Given 1 gateways and 1 ranks, and a common view
    When the first rank has named a limit of 2 a second
    And requests of priorities 1 1 0 arrive 0.1 s later and may wait 1.5 s
    Then requests 3 1 are sent in order, 0.45 and 1.0 s later
    And request 2 is refused at once with 1215, to retry after 1.5 to 2.4 s

  Scenario: A gateway without a share of any runner refuses at once
    Given 39 gateways and 1 ranks, and a common view
    And the first rank names a limit of 0 a second
    When a gateway that is no owner of it has named it and gets a request
    Then it is answered 503 in 0.0 to 0.1 s

  Scenario Outline: A runner that can be cold names a limit of <per_s> a second
    Given a gateway that may send 1 request in 1.05 s to a runner that may be cold
    When the runner names a limit of <per_s> a second and the gateway sends all it may
    Then it sends at most <most> requests in any 4 s

    Examples:
      | per_s | most |
      | 0.5   | 2    |
      | 10    | 4    |

  Scenario Outline: An answer with the platform's header "<header>"
    Then it is parsed as a limit of <limit>

    Examples:
      | header             | limit     |
      | Server-Limit: 2.5  | 2.5       |
      | server-limit: 0    | 0         |
      | Server-Limit: 1e3  | 1000      |
      | Server-Limit: -2   | malformed |
      | Server-Limit: inf  | malformed |
      | Server-Limit: nan  | malformed |
      | Server-Limit: 2 /s | malformed |
      | Server-Limited: 2  | none      |
