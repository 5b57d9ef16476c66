Feature: A request that crashes its runners reaches few of them

  Scenario Outline: A killer comes again at all gateways, <case>
    Given 6 runners of <kind>
    When a killer comes each 1 s at another gateway for 20 s, while <case>
    Then it has crashed <least> to <most> runners
    And it has reached none later than 1 s after it was the <most>th time
    And it is then refused at once, finally and with its own code
    And no other request has been refused with that code

    Examples:
      | kind            | case                           | least | most |
      | a plain service | nothing else happens           | 2     | 2    |
      | a group         | nothing else happens           | 2     | 2    |
      | a plain service | others run beside it           | 2     | 2    |
      | a plain service | the leader is killed after one | 2     | 3    |
      | a plain service | a gateway is cut off after one | 2     | 4    |

  Scenario: What is held back stays so when all processes have lost power
    Given 6 runners of a plain service
    When a killer is held back, all processes lose power, and it comes 9 times
    Then it has crashed 2 to 2 runners

  Scenario: A runner that crashes by itself holds back nobody
    Given 6 runners of a plain service
    When 20 other requests a second come for 60 s, and a runner crashes each 5 s
    Then no other request has been refused with that code
    And at least 98 in 100 are served

  Scenario: Connections that break are no crashes
    Given 6 runners of a plain service
    When 20 other requests a second come for 60 s, and one resets each 0.5 s
    Then no other request has been refused with that code
    And no crash has been counted

  Scenario: A crash that is told again and again counts once
    Given 6 runners of a plain service
    When a request has met one crash, and comes again after 9 s
    Then it is served everywhere within 1 s

  Scenario: A snapshot keeps what is held back, in its order
    When 1100 requests are held back, and 5 of them released, in a log
    Then 995 are kept, the latest ones, and a snapshot gives the same

  Scenario: What was held back is tried once, later and later
    Given 6 runners of a plain service
    When a killer is held back and comes each 5 s for 400 s
    Then it has crashed 4 to 4 runners

  Scenario: A request that has ended well since is free at once
    Given 6 runners of a plain service
    When a request is held back for crashes of others, and has ended well since
    Then it is served everywhere within 1 s

  Scenario: A trial that ends well forgets that it was held back
    Given 6 runners of a plain service
    When a request is held back for crashes of others, and is tried 62 s later
    Then it is served, and nothing is known of it any more

  Scenario Outline: Second tries on a group while a request is held back
    Given a rank that crashed under a request which had shown <events> events
    Then it <may> be tried again

    Examples:
      | events | may     |
      | 0      | may not |
      | 3      | may     |

  Scenario: An operator lists what is held back, and releases it
    Given 6 runners of a plain service
    When a killer is held back, and an operator releases it
    Then it was listed, it reaches runners again, and no other digest is taken

  Scenario Outline: The command line shows "<args>"
    Given an entry that answers commands and knows two requests
    When "quarantine <args>" is run on it
    Then it has been asked for <asked>, and shows <shown>

    Examples:
      | args           | asked                       | shown                 |
      | list           | GET /v1/quarantine/         | held back 2 1         |
      | list           | GET /v1/quarantine/         | may be tried 5 2      |
      | list --json    | GET /v1/quarantine/         | "is_held": true       |
      | release 00ff   | POST /v1/quarantine/00ff/release | held back 2 1    |

  Scenario Outline: What stands for a request differs by its <part> alone
    Then the digest of a request with another <part> is another one
    And it tells no byte of the request, and is another one under another key

    Examples:
      | part   |
      | method |
      | target |
      | caller |
      | body   |

  Scenario Outline: A broken connection is a crash only if <sign>
    Given a real address that <sign>
    Then it is <told> as one that refuses connections

    Examples:
      | sign              | told     |
      | refuses the next  | told     |
      | takes the next    | not told |
      | answers no packet | not told |

  Scenario: Suspects and good ends are kept within a bound
    When 5000 requests are suspect, and 5000 end well
    Then no more than 500 and 1000 of them are kept, the latest ones
    And they are told for 30 s, 64 at a time, and count for 600 s
