Feature: What the leader sends and takes does not grow with ranks times boxes

  Pattern: a group of 192 ranks changes its map each second or two, beside 103
  gateways. The bounds are those of its leader's box: one thread, and a link
  of 100 Mbit/s.

  Scenario: A map is packed against the one before it
    Given a map of 192 ranks with 384 experts in 10 sets and 3 places
    When 700 of its experts change, and it is packed
    Then it takes at most 4000 bytes, and 9000 where nothing is known
    And what is unpacked is the new map, in both forms

  Scenario Outline: A packed map that <fault> is refused, and nothing is kept
    Given a map of 192 ranks with 384 experts in 10 sets and 3 places
    When a packed map comes that <fault>
    Then the map is refused with code 1600

    Examples:
      | fault                          |
      | is cut short                   |
      | tells a size of nothing        |
      | tells a size beyond all bounds |
      | holds more than it tells       |
      | is based on another group      |

  Scenario: A sidecar that lacks the base of a map says so and gets it whole
    Given a sidecar that knows no map
    When an order to prepare comes that builds on map 7
    Then the order is not carried out, and the sidecar reports at once
    When the order comes again with the whole map
    Then the order is carried out with that map

  Scenario: A sidecar that rests for long is heard while it copies
    Given a sidecar that knows no map
    And the leader lets it rest for 0.5 s
    When it has reported and rests
    Then its next report is due after 0.5 s
    When it copies the experts of a map
    Then its next report is due after 0.12 s

  Scenario Outline: Few of <ranks> ranks tell choices, and the others rest
    Given a leader that <ranks> ranks have reported to
    Then <counting> ranks are asked for counts
    And reports come at most <per_s> times a second while no map changes

    Examples:
      | ranks | counting | per_s |
      | 12    | 12       | 100   |
      | 16    | 16       | 134   |
      | 24    | 12       | 201   |
      | 72    | 15       | 200   |
      | 192   | 16       | 450   |

  Scenario: A change of 192 ranks takes few looks at all of them
    Given a leader that 192 ranks have reported to
    When all ranks go through a change one after the other
    Then the phases were told in the order prepare, hold, arm, go
    And all ranks were looked at together at most 12 times

  Scenario Outline: A map is sent as it differs from the one that a rank knows
    Given a leader that 192 ranks have reported to
    And maps 9 and 11 of which 11 is to be prepared
    When rank 5 reports that it knows map <known>
    Then the map that it gets builds on <base>

    Examples: map 4 is of before this leader
      | known | base |
      | 9     | 9    |
      | 4     | -1   |
      | -1    | -1   |

  Scenario: A shift that is told during a search makes its plan outdated
    Given a leader that 192 ranks have reported to
    When demand shifts while a plan is searched for
    Then the report is answered before the search ends
    And the plan is begun, and a newer one may take its place

  Scenario: After a search that found nothing the leader's core has a rest
    Given a leader that 192 ranks have reported to
    When searches find nothing for 1 s of reports, 0.005 s apart
    Then at most 5 searches were made

  Scenario: A late report of an epoch that is over is no sign of its rank
    Given a leader that 4 ranks have reported to
    When rank 0 reports a new epoch, and rank 3 the old one after it
    Then 1 s later rank 0 is the only one that is silent

  Scenario: Loads go to any number of gateways within a bound
    Given leases of 103 gateways at a leader
    Then loads are told at most 400 times a second together
