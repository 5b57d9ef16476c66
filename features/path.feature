Feature: End-to-end requests through separate processes

  Scenario: A list of addresses, a streamed answer and a plain call
    Given a system with 1 controller, 2 gateways and 2 agents
    And the sample table is in force
    When a caller requests the addresses of the gateways
    Then the answer has 2 addresses with a time to live
    When team "dispatch" streams a chat with "drafts"
    Then the answer is complete with 12 tokens
    When team "control-room" calls "alarm-relay"
    Then the call returns status 200
    And the decisions on the last request have a reason from "g1" and one from an agent

  Scenario: A call that may not be repeated runs once through two gateways
    Given a system with 1 controller, 2 gateways and 2 agents
    And the sample table is in force
    When key "17" is sent by team "receipts" to "receipt-corrections" through "g1"
    And key "17" is sent by team "receipts" to "receipt-corrections" through "g2"
    Then both calls returned the same answer and it ran once

  Scenario: An invalid request is refused with the code of its error
    Given a system with 1 controller, 1 gateways and 1 agents
    And the sample table is in force
    Then these requests are refused
      | team     | path                              | body        | status | code |
      | nobody   | /v1/services/alarm-relay          | {}          | 401    | 1102 |
      | dispatch | /v1/services/unheard-of           | {}          | 404    | 1103 |
      | dispatch | /v1/chat/completions              | {broken     | 400    | 1100 |
      | dispatch | /v1/chat/completions              | []          | 400    | 1100 |
      | receipts | /v1/services/receipt-corrections  | {}          | 400    | 1104 |
    And a body of 5000000 bytes is refused with code 1101
    And the system still serves requests
