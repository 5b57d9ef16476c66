Feature: Expert maps that engines refuse

  The routes state how many experts a rank can hold and take in one change. They
  are of another model than the engines for as long as one is exchanged for the
  next, so engines may refuse a map that fits the routes.

  # Guards against orders that are repeated as fast as a sidecar can report, for
  # as long as its engine refuses them.
  Scenario: An order that an engine refuses is not repeated at once
    Given a sidecar whose engine refuses to prepare any map
    When it receives the same order to prepare 50 times a second for 3 s
    Then its engine gets the order at most 4 times
    And the sidecar has reported at once after the first refusal alone

  Scenario: An order without an answer is repeated at once
    Given a sidecar whose engine answers no order to prepare a map
    When it receives the same order to prepare 50 times a second for 3 s
    Then its engine gets the order at least 20 times

  Scenario: Another order is not held back by a refusal
    Given a sidecar whose engine refuses to prepare any map
    When it receives orders to prepare three maps within 0.1 s
    Then its engine gets the order at least 3 times

  # Guards against a group that keeps its map for good once an engine has refused
  # the next one.
  Scenario: A change is abandoned that some rank does not prepare
    Given a leader that 4 ranks have reported to
    And enough demand to plan, and a map that all ranks use
    When the ranks report for 120 s, and rank 2 prepares no map
    Then between 2 and 4 changes were planned, each later than the one before
    And no change was abandoned within 15 s

  Scenario: A change is not abandoned while its experts are copied
    Given a leader that 4 ranks have reported to
    And enough demand to plan, and a map that all ranks use
    And one expert is copied in 20 s
    When the ranks report for 32 s, and rank 2 prepares no map
    Then between 1 and 1 changes were planned, each later than the one before

  Scenario: A change that is in use ends the pauses after abandoned ones
    Given a leader that 4 ranks have reported to
    And enough demand to plan, and a map that all ranks use
    When the ranks report for 32 s, and rank 2 prepares no map
    And the ranks prepare and use the map of the next change
    Then a change that begins within 1 s is abandoned 15 to 16 s later

  Scenario: A group whose routes are of another model for a while
    Given a group of 4 engines with steady demand
    When sidecars and a leader change its maps for 20 s with routes of another model
    Then no forward pass used two maps
    And each engine refused at most 1.5 orders a second meanwhile
    And the maps were changed at least 1 times
