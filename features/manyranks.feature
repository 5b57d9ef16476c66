Feature: Load on the leader of groups with many ranks

  The messages and CPU time of a leader with 192 ranks and 103 gateways stay
  within what one thread and a link of 100 Mbit/s allow.

  Scenario: A map is packed against the previous one
    Given a map of 192 ranks with 384 experts in 10 sets and 3 places
    When 700 of its experts change, and it is packed
    Then it takes at most 4000 bytes, and 9000 without a base
    And both packed forms unpack to the new map

  Scenario Outline: A packed map that <fault> is refused
    Given a map of 192 ranks with 384 experts in 10 sets and 3 places
    When a packed map is unpacked that <fault>
    Then the map is refused with code 1600

    Examples:
      | fault                            |
      | is truncated                     |
      | states a size of zero            |
      | states a size above the limit    |
      | has more data than its size      |
      | is based on a map of other ranks |

  Scenario: A sidecar that lacks the base of a map reports it and gets it whole
    Given a sidecar that knows no map
    When it receives an order to prepare a map packed against map 7
    Then the order is not carried out, and the sidecar reports at once
    When it receives the order again with the whole map
    Then the order is carried out with that map

  # Guards against reports with the experts of another map than they name.
  Scenario Outline: An engine <changes> while <reader> reads its experts
    Given a rank's engine that <changes> once its state was read
    When <reader> reports its rank until it has reported its experts
    Then each report has the experts of the map that it names

    Examples:
      | changes          | reader    |
      | uses another map | a sidecar |
      | starts again     | a sidecar |
      | uses another map | a leader  |
      | starts again     | a leader  |

  Scenario: A sidecar with a long interval reports more often while it copies
    Given a sidecar that knows no map
    And a report interval of 0.5 s set by the leader
    When it has just reported
    Then its next report is due after 0.5 s
    When it copies the experts of a map
    Then its next report is due after 0.12 s

  Scenario Outline: Of <ranks> ranks only some report counts, the others less often
    Given a leader that <ranks> ranks have reported to
    Then <counting> ranks are asked for counts
    And reports arrive at most <per_s> times a second while no map changes

    Examples:
      | ranks | counting | per_s |
      | 12    | 12       | 100   |
      | 16    | 16       | 134   |
      | 24    | 12       | 201   |
      | 72    | 15       | 200   |
      | 192   | 16       | 450   |

  Scenario: A change of 192 ranks checks all of them only a few times
    Given a leader that 192 ranks have reported to
    When all ranks go through a change one after the other
    Then the orders were sent in the sequence prepare, hold, arm, go
    And all ranks were checked together at most 12 times

  Scenario Outline: A map is packed against map <known> of a rank
    Given a leader that 192 ranks have reported to
    And maps 9 and 11 of which 11 is to be prepared
    When rank 5 reports that it knows map <known>
    Then the map that it receives is packed against <base>

    Examples: the leader does not have map 4
      | known | base |
      | 9     | 9    |
      | 4     | -1   |
      | -1    | -1   |

  Scenario Outline: A map is not packed against one with other <dimension>
    Given a leader that 192 ranks have reported to
    And maps 9 and 11 of which 11 is to be prepared
    And map 9 is of a former model with other <dimension>
    When rank 5 reports that it knows map 9
    Then the map that it receives is packed against -1

    Examples:
      | dimension |
      | sets      |
      | ranks     |

  Scenario: A leader whose routes are for another model than its reports goes on
    Given a leader that 192 ranks have reported to
    When the routes name twice as many experts as are reported
    Then reports are answered for 1 s, and no change begins

  # Guards against a plan from two maps, in which an expert has no rank.
  Scenario Outline: No map is planned while one rank <reports>
    Given a leader that 4 ranks have reported to
    And enough demand to plan, and a map that all ranks use
    When one rank <reports>
    Then no search begins
    When the reports of all ranks are of one map again
    Then a search begins with that map

    Examples: reports of one change, some from before it and some from after it
      | reports                      |
      | reports the next map already |
      | is armed for the next map    |
      | reports another size         |

  # Guards against the same, where the reports change during the search.
  Scenario Outline: A plan is dropped where a rank <reports> during the search
    Given a leader that 4 ranks have reported to
    And enough demand to plan, and a map that all ranks use
    When a rank <reports> while the search runs
    Then no change begins

    Examples:
      | reports                      |
      | reports the next map already |
      | is armed for the next map    |

  # Guards against a leader that ends, and the next one after it, as a search
  # fails on reports that nobody has foreseen.
  Scenario: A search that fails unexpectedly ends no leader
    Given a leader that 4 ranks have reported to
    And enough demand to plan, and a map that all ranks use
    When searches fail with an IndexError
    Then reports are answered for 1 s, and no change begins
    And the log names where the search has failed

  Scenario: A shift of demand during a search makes its plan outdated
    Given a leader that 192 ranks have reported to
    When demand shifts during the search for a plan
    Then the report is answered before the search ends
    And the planned change begins, and a newer one may replace it

  Scenario: Searches that find no better map are spaced
    Given a leader that 192 ranks have reported to
    When searches find no better map during 1 s of reports, 0.005 s apart
    Then at most 5 searches were made

  Scenario: A delayed report of an earlier epoch is not a contact of its rank
    Given a leader that 4 ranks have reported to
    When rank 0 reports a new epoch, and rank 3 the old one after it
    Then 1 s later only rank 0 is unresponsive

  Scenario: The rate of load messages is bounded for any number of gateways
    Given leases of 103 gateways at a leader
    Then at most 400 load messages are sent per second in all
