Feature: Operators' changes of the controllers, sent again

  A call whose answer is late is sent again, to the same leader or another.

  Scenario: A controller that is added twice is answered alike
    Given a leading controller that knows c1 as a voter and c2 as a learner
    When the operator sends "add c3" twice
    Then both are answered "c3.0 is a learner" and the controllers changed once

  Scenario: An identity that is there at another address is not added
    Given a leading controller that knows c1 as a voter and c2 as a learner
    When the operator adds c2 at another address
    Then that is refused with code 1402
