Feature: Decision rules, each in isolation

  Guards each rule against errors that the faults in other features hit rarely.

  Scenario Outline: A ticket <case> is refused
    Given an agent's ticket log with an accepted ticket
    Then a ticket <case> is refused with code 1205

    Examples:
      | case                                 |
      | for another incarnation              |
      | that was accepted before             |
      | that was accepted, and ended, before |
      | that was in transit for 40 s         |
      | that was revoked                     |

  Scenario: A revocation distinguishes not run, unknown and ran
    Given an agent's ticket log with an accepted ticket
    Then a revocation returns "not run" before, "unknown" during and "ran" after

  Scenario Outline: A claim <case>
    Given claims of which one is granted
    Then a claim <case> is <answer>

    Examples:
      | case                                          | answer            |
      | of the same attempt, after a lost reply       | granted           |
      | of another attempt                            | not granted       |
      | of the same key for another request           | refused with 1105 |
      | of the same attempt after its end             | not granted       |
      | after the first was known not to run          | granted           |
      | with a key older than those kept              | refused with 1105 |
      | with an older key, after a clock stepped back | refused with 1105 |
      | with an older key, after longer retention     | refused with 1105 |
      | with a key from tomorrow                      | refused with 1105 |
      | with a key without a time                     | refused with 1104 |

  Scenario: The known outcome of a claim is never replaced
    Given claims of which one is granted
    Then the first outcome is kept, but ran replaces unknown

  Scenario Outline: A holder's lease with <case>
    Given a holder with a grant of term 3 at index 10
    Then it <answer>

    Examples:
      | case                        | answer                          |
      | a grant of term 2           | does not accept it              |
      | a grant at index 9          | does not accept it              |
      | a later leader, at index 9  | does not accept it              |
      | a push that leaves a gap    | does not accept the push        |
      | a push of an earlier leader | does not accept the push        |
      | a delayed grant             | starts the lease at the request |

  Scenario Outline: The queue with <case>
    Given a queue of 4 slots, 1 reserved for pings
    Then <outcome>

    Examples:
      | case              | outcome                                        |
      | drafting alone    | 3 drafts start and a slot stays free           |
      | a ping behind     | a ping starts before earlier drafts            |
      | unequal weights   | of two teams the one of weight 3 starts 3 of 4 |
      | no time left      | a request that would wait too long is refused  |
      | a removed request | a removed request never starts                 |

  Scenario: Requests that a lapsed gateway may still run stay counted
    Then the share of a lapsed gateway is free only after the deadline of its row

  Scenario: A frame that is out of order is not accepted
    Then an attempt accepts frames only in order, each once

  Scenario: Failing runners are ejected, a limited number at once, and probed again
    Given 4 runners known to a gateway
    Then 3 failures eject one for 2 s, then 4 s, and data ends the ejection
    And of 4 failing runners at most 2 are ejected

  Scenario: Shares of a row keep to its limit, over random gateways, grants and losses
    Then in 150 random histories no row is used above its limit

  Scenario Outline: Settings with <error> are refused with the path of the key
    Then settings with <error> name "<path>"

    Examples:
      | error                   | path              |
      | an unknown key          | gateway.prot      |
      | a negative number       | lease.lease_s     |
      | an address without port | bind              |
      | an unknown role         | role              |
      | keys neither off nor on | keys.folder       |
      | a slow renewal          | lease.renew_s     |
      | a key of 65 bytes       | digest_key        |
      | a hop worth nothing     | routing.hall_cost |

  Scenario: All errors of settings and of a sheet are reported at once
    Then settings with three errors give three lines
    And a sheet with four errors gives four lines with row and column

  Scenario Outline: Random <input> give a coded error or a valid value
    Then 200 random inputs of <input> give one or the other

    Examples:
      | input    |
      | messages |
      | sheets   |
      | settings |
      | keys     |
