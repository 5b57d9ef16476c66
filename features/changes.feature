Feature: Retried operator commands on the controllers

  A call that has timed out is retried at the same leader or another one.

  Scenario: Adding a controller twice gives the same reply and one change
    Given a leader whose configuration has the voter c1 and the learner c2
    When the operator sends "add c3" twice
    Then both replies are "c3.0 is a learner" and the controllers changed once

  Scenario: A known identity at another address is not added
    Given a leader whose configuration has the voter c1 and the learner c2
    When the operator adds c2 at another address
    Then the command is refused with code 1402
