Feature: The rules that decide, one at a time

  Scenario Outline: A ticket <case> is refused
    Given an agent's tickets, one accepted
    Then a ticket <case> is refused with code 1205

    Examples:
      | case                                   |
      | for another incarnation                |
      | that was accepted before               |
      | that was accepted, and ended, before   |
      | that was on its way for 40 s           |
      | that was barred                        |

  Scenario: A revocation tells not run, unknown and ran apart
    Given an agent's tickets, one accepted
    Then a revocation says "not run" before, "unknown" during and "ran" after

  Scenario Outline: A claim <case>
    Given claims, one granted
    Then a claim <case> is <answer>

    Examples:
      | case                                     | answer            |
      | of the same attempt, its answer lost     | granted           |
      | of another attempt                       | not granted       |
      | of the same key for another request      | refused with 1105 |
      | of the same attempt after its end        | not granted       |
      | after the first was known not to run     | granted           |
      | with a key older than those kept         | refused with 1105 |
      | with an older key, after a clock stepped back | refused with 1105 |
      | with an older key, after keeping longer  | refused with 1105 |
      | with a key of tomorrow                   | refused with 1105 |
      | with a key that has no time              | refused with 1104 |

  Scenario: A known end of a claim is never replaced
    Given claims, one granted
    Then the end that came first stays, but unknown gives way to ran

  Scenario Outline: A holder's lease with <case>
    Given a holder that took a grant of term 3 at index 10
    Then it <answer>

    Examples:
      | case                         | answer                               |
      | a grant of term 2            | does not take it                     |
      | a grant at index 9           | does not take it                     |
      | a later leader, at index 9   | does not take it                     |
      | a push that leaves a gap     | does not take the push               |
      | a push of an earlier leader  | does not take the push               |
      | a grant that came back late  | counts it from when it was asked for |

  Scenario Outline: The queue with <case>
    Given a queue of 4 slots, 1 kept for pings
    Then <outcome>

    Examples:
      | case              | outcome                                          |
      | drafting alone    | 3 drafts start and a slot stays free             |
      | a ping behind     | a ping starts before drafts that came first      |
      | unequal weights   | of two teams the one of weight 3 starts 3 in 4   |
      | no time left      | a request that would wait too long is refused    |
      | a removed request | a removed request never starts                   |

  Scenario: What a lapsed gateway may still run stays counted
    Then a row lent to a gateway that lapsed is free after its deadline only

  Scenario: A frame that does not follow on is not taken
    Then an attempt takes frames in their places only, each once

  Scenario: A failing runner is left out, probed again, never too many at once
    Given 4 runners as a gateway knows them
    Then 3 failures leave one out for 2 s, then 4 s, and data brings it back
    And of 4 failing runners at most 2 are left out

  Scenario: Shares of a row over random gateways, grants and losses
    Then in 150 random histories no row is used above its limit

  Scenario Outline: Settings with <error> are refused with their path
    Then settings with <error> name "<path>"

    Examples:
      | error                   | path                 |
      | an unknown key          | gateway.prot         |
      | a number below zero     | lease.lease_s        |
      | an address with no port | bind                 |
      | a wrong role            | role                 |
      | keys neither off nor on | keys.folder          |
      | a slow renewal          | lease.renew_s        |
      | a key of 65 bytes       | digest_key           |

  Scenario: All errors of settings and of a sheet come at once
    Then settings with three errors give three lines
    And a sheet with three errors gives three lines with row and column

  Scenario Outline: Random <input> gives a coded error or a good value
    Then 200 random inputs of <input> end so

    Examples:
      | input    |
      | messages |
      | sheets   |
      | settings |
      | keys     |
