Feature: Plans soon after a shift where demand shifts every two seconds

  Passes are too long from a shift of demand until a better map is in use. A
  rank's report covers 0.2 s, so the first ones after a shift are partly from
  before it.

  Scenario Outline: New demand is known soon after each shift
    Given 16 ranks that report in turn the selections of the last 0.2 s
    And <share> of the experts swap their popularity every 2.13 s
    When 12 shifts of demand have been reported
    Then each shift is detected within 0.35 s, and nothing else is
    And within 0.4 s of each shift demand is known within 0.2

    Examples:
      | share |
      | 0.64  |
      | 0.9   |

  Scenario Outline: Demand that <behaves> is not detected as a shift
    Given 16 ranks that report in turn the selections of the last 0.2 s
    When demand <behaves> for 40 s
    Then no shift of demand was detected

    Examples:
      | behaves         |
      | stays the same  |
      | changes slowly  |

  Scenario: Alternating demands are both detected
    Given 16 ranks that report in turn the selections of the last 0.2 s
    And two demands alternate every 2.13 s
    When 12 shifts of demand have been reported
    Then each shift is detected within 0.35 s, and nothing else is

  Scenario: Counts from before a shift are not used for a plan
    Given 16 ranks that report in turn the selections of the last 0.2 s
    And 0.64 of the experts swap their popularity every 2.13 s
    When 12 shifts of demand have been reported
    Then the first demand known after each shift is within 0.15

  Scenario: Demand of which most remains is not taken for former demand
    Given 16 ranks that report in turn the selections of the last 0.2 s
    And 0.25 of the selections go to other experts every 2.13 s
    When 6 shifts of demand have been reported
    Then each shift is detected within 0.35 s, and nothing else is
    And the first demand known after each shift is within 0.15

  Scenario: A shift during a change lets a newer plan replace it at once
    Given 16 ranks that report in turn the selections of the last 0.2 s
    And 0.64 of the experts swap their popularity every 2.13 s
    And a group that is copying the experts of a change throughout
    When 3 shifts of demand have been reported
    Then within 0.4 s of each shift a newer plan may replace the change

  Scenario Outline: The time from a shift to its map is logged once
    Given 16 ranks that report in turn the selections of the last 0.2 s
    And 0.64 of the experts swap their popularity every 2.13 s
    And a group that is copying the experts of a change throughout
    When 2 shifts of demand have been reported
    And a change is planned that <uses> the counts after the shift
    Then <time> is logged with it, and none with the next change

    Examples:
      | uses         | time    |
      | uses         | its age |
      | does not use | no age  |

  Scenario: Gauges tell how far the slowest ranks are above the mean
    Given a group of 4 engines whose demand shifts every second
    When sidecars and a leader change its maps for 40 s with orders carried out at once
    Then the gauges of the leader have the plans' gains and the time to their use
