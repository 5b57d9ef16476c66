Feature: Requests through a system of separate processes

  Runs real processes, to find faults that simulations of their parts miss.

  Scenario: A streamed chat completion and a plain call are answered
    Given a system with 1 controller(s), 2 gateway(s) and 2 agent(s)
    And the sample table is in force
    When a caller requests the gateway addresses
    Then the response has 2 addresses and a time to live
    When team "dispatch" streams a chat completion of "drafts"
    Then the stream is complete with 12 tokens
    When team "control-room" calls "alarm-relay"
    Then the response has status 200
    And the last request has recorded reasons from "g1" and an agent

  Scenario: A call that is not repeatable runs once if sent to two gateways
    Given a system with 1 controller(s), 2 gateway(s) and 2 agent(s)
    And the sample table is in force
    When a call with key "17" is sent by team "receipts" to "receipt-corrections" through "g1"
    And a call with key "17" is sent by team "receipts" to "receipt-corrections" through "g2"
    Then both responses are equal and the call ran once

  Scenario: Invalid requests are refused with an error code
    Given a system with 1 controller(s), 1 gateway(s) and 1 agent(s)
    And the sample table is in force
    Then these requests are refused
      | team     | path                             | body    | status | code |
      | nobody   | /v1/services/alarm-relay         | {}      | 401    | 1102 |
      | dispatch | /v1/services/unheard-of          | {}      | 404    | 1103 |
      | dispatch | /v1/chat/completions             | {broken | 400    | 1100 |
      | dispatch | /v1/chat/completions             | []      | 400    | 1100 |
      | receipts | /v1/services/receipt-corrections | {}      | 400    | 1104 |
    And a body of 5000000 bytes is refused with code 1101
    And the system still serves requests
