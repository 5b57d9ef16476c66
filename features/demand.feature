Feature: Counts of choices forget what was asked for before a shift

  Scenario: A shift is told within two spans, and the mean holds nothing else
    Given the choices of 96 experts, reported each 0.12 s by 12 ranks
    When demand keeps for 4 s and then shifts for good
    Then one shift was told, at most 0.5 s after it
    And once settled the mean is within 0.15 of what is asked for now

  Scenario: Single prompts tell no shift
    Given the choices of 96 experts, reported each 0.12 s by 12 ranks
    When demand keeps for 30 s
    Then no shift was told

  Scenario: A report after a pause in the work tells no shift
    Given the choices of 96 experts, reported each 0.12 s by 12 ranks
    When demand keeps for 4 s, rests for 3 s, and keeps for 4 s
    Then no shift was told

  Scenario: Packed counts take a byte an expert and keep what matters
    Given the choices of 96 experts, reported each 0.12 s by 12 ranks
    When counts are packed and read again
    Then they took 96 bytes, and each count is within a 500th of the largest

  Scenario: A change gives way to a newer plan until a pass is held for it
    Given the choices of 96 experts, reported each 0.12 s by 12 ranks
    And a group of 12 ranks that copies the experts of a change
    When demand keeps for 4 s and then shifts for good
    Then a newer plan may take the place of the change
    And none may once a pass is held for it

  Scenario: What is asked for is known when a group opens again
    Given the choices of 96 experts, reported each 0.12 s by 12 ranks
    And a group of 12 ranks that copies the experts of a change
    When demand keeps for 4 s
    And the group forms anew
    Then no change is under way, and what is asked for is known
