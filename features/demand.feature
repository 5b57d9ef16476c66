Feature: Demand estimates discard counts from before a shift

  Counts from before a shift hide the present demand, and plans made from them
  place experts where they are no longer needed.

  Scenario: A shift is detected within two windows and the mean starts over
    Given selection counts of 96 experts, reported every 0.12 s by 12 ranks
    When demand is constant for 4 s and then shifts
    Then one shift is detected, at most 0.5 s after it
    And the settled mean is within 0.15 of the current demand

  Scenario: Single prompts are not detected as shifts
    Given selection counts of 96 experts, reported every 0.12 s by 12 ranks
    When demand is constant for 30 s
    Then no shift is detected

  Scenario: A report after an idle period is not detected as a shift
    Given selection counts of 96 experts, reported every 0.12 s by 12 ranks
    When demand is constant for 4 s, idle for 3 s, and constant for 4 s
    Then no shift is detected

  Scenario: Packed counts take one byte per expert with a bounded error
    Given selection counts of 96 experts, reported every 0.12 s by 12 ranks
    When counts are packed and unpacked
    Then they take 96 bytes, and each count is within a 500th of the largest

  Scenario: A newer plan may replace a change until a pass is held for it
    Given selection counts of 96 experts, reported every 0.12 s by 12 ranks
    And a group of 12 ranks that is copying the experts of a change
    When demand is constant for 4 s and then shifts
    Then a newer plan may replace the change
    And no plan may replace it once a pass is held for it

  Scenario: Demand is known when a group opens again
    Given selection counts of 96 experts, reported every 0.12 s by 12 ranks
    And a group of 12 ranks that is copying the experts of a change
    When demand is constant for 4 s
    And the group forms again
    Then no change is in progress, and demand is known
