Feature: What a runner asks for in its answers holds for the gateway that got it

  # Seen: runners that turned all requests away, and asked for 3 s of rest,
  # got up to 4 more requests of the same gateway in that time, while a tenth
  # of the callers were refused beside free runners.
  # How: nothing runs on such a runner, so each report says that it is the
  # least loaded of all, and the next request goes there. A refusal closed the
  # whole group for 0.3 s, and second tries met another runner of that kind.
  # Cause: of an answer only its status and load were read; what it says of
  # its runner for the time to come was dropped.
  # Proof: the span that each refusal asked for, in the log beside the sends
  # that followed, none of which had waited on its way.

  Scenario: Some ranks of a group turn all requests away and ask for rest
    Given 3 gateways and 16 ranks of one group
    When 40 requests a second come for 14 s, and from 2 to 11 s 5 ranks ask for 3 s of rest
    Then no gateway has sent more than 2 requests into a rest
    And all requests are served

  Scenario: A rest outlives the registration of its runner
    Given 1 gateways and 2 ranks of one group
    When a rank asks for 3 s of rest and its registration is lost for 0.5 s
    Then no gateway has sent more than 2 requests into a rest

  Scenario: A later life of a runner has asked for nothing
    Given 1 gateways and 1 ranks of one group
    When a rank asks for 30 s of rest and starts again after 1 s
    Then its new life gets the next request

  Scenario: A runner says in its answers that it leaves
    Given 2 gateways and 3 ranks of one group
    When 20 requests a second come for 9 s, and a rank says so from 2 s on
    Then no gateway has sent it any request later than 0.5 s after its word
    And all requests are served

  Scenario: The word that it leaves outlives the registration of its runner
    Given 1 gateways and 2 ranks of one group
    When a rank says that it leaves and its registration is lost for 0.5 s
    Then no gateway has sent it any request later than 0.5 s after its word
