Feature: Quarantine of requests that crash their runners

  A request that crashes each runner it reaches would take down all of them
  by its retries.

  Scenario Outline: A crashing request is repeated at all gateways, while <case>
    Given 6 runners of <kind>
    When a crashing request is sent every 1 s to another gateway for 20 s, while <case>
    Then it has crashed <least> to <most> runners
    And it has reached none more than 1 s after crash <most>
    And it is then refused at once, as final and with its own code
    And no other request has been refused with that code

    Examples:
      | kind            | case                                     | least | most |
      | a plain service | nothing else happens                     | 2     | 2    |
      | a group         | nothing else happens                     | 2     | 2    |
      | a plain service | other requests run at the same time      | 2     | 2    |
      | a plain service | the leader is killed after one crash     | 2     | 3    |
      | a plain service | a gateway is partitioned after one crash | 2     | 4    |

  Scenario: A quarantine survives a loss of power of all processes
    Given 6 runners of a plain service
    When a crashing request is quarantined, all processes lose power, and it is sent 9 times
    Then it has crashed 2 to 2 runners

  Scenario: Crashes that no request causes quarantine none
    Given 6 runners of a plain service
    When 20 other requests a second are sent for 60 s, and a runner crashes every 5 s
    Then no other request has been refused with that code
    And at least 98 % are served

  Scenario: Connection resets are not crashes
    Given 6 runners of a plain service
    When 20 other requests a second are sent for 60 s, and a runner resets its connections every 0.5 s
    Then no other request has been refused with that code
    And no crash has been recorded

  Scenario: A crash that is reported repeatedly counts once
    Given 6 runners of a plain service
    When a request has seen one crash, and is sent again after 9 s
    Then it is served everywhere within 1 s

  Scenario: A snapshot keeps the quarantine entries, in their order
    When 1100 requests are quarantined, and 5 of them released, in a log
    Then the latest 995 are kept, and a snapshot restores them

  Scenario: A quarantined request is probed at increasing intervals
    Given 6 runners of a plain service
    When a crashing request is quarantined and sent every 5 s for 400 s
    Then it has crashed 4 to 4 runners

  Scenario: A quarantined request that succeeds is released at once
    Given 6 runners of a plain service
    When a request is quarantined for other crashes, and has succeeded since
    Then it is served everywhere within 1 s

  Scenario: A successful probe removes the quarantine entry
    Given 6 runners of a plain service
    When a request is quarantined for other crashes, and is sent 62 s later
    Then it is served, and no entry of it remains

  Scenario Outline: A request that crashed a rank is retried only if it had returned events
    Given a rank that crashed while running a request that had returned <events> events
    Then it <may> be retried

    Examples:
      | events | may     |
      | 0      | may not |
      | 3      | may     |

  Scenario: An operator lists the quarantine entries, and releases one
    Given 6 runners of a plain service
    When a crashing request is quarantined, and an operator releases it
    Then it was listed, it reaches runners again, and no other digest is accepted

  Scenario Outline: The command line shows "<args>"
    Given an entry with two quarantine entries
    When "quarantine <args>" is run on it
    Then it has received <received>, and shows <shown>

    Examples:
      | args         | received                         | shown            |
      | list         | GET /v1/quarantine/              | held back 2 1    |
      | list         | GET /v1/quarantine/              | may be tried 5 2 |
      | list --json  | GET /v1/quarantine/              | "is_held": true  |
      | release 00ff | POST /v1/quarantine/00ff/release | held back 2 1    |

  Scenario Outline: The digest of a request depends on its <part>
    Then the digest of a request with another <part> is different
    And it has a fixed size, and differs under another key

    Examples:
      | part   |
      | method |
      | target |
      | caller |
      | body   |

  Scenario Outline: A broken connection is a crash only if its address <behaviour>
    Given a real address that <behaviour>
    Then it is <reported> as one that refuses connections

    Examples:
      | behaviour           | reported     |
      | refuses connections | reported     |
      | accepts connections | not reported |
      | answers no packet   | not reported |

  Scenario: The records of suspects and successes are bounded
    When 5000 requests are suspect, and 5000 succeed
    Then the latest 500 and 1000 of them are kept
    And they are reported for 30 s, 64 at a time, and count for 600 s
