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
