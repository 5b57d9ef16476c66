Feature: Faults of real processes

  Scenario: The leader is killed
    Given a system with 3 controller, 2 gateways and 2 agents
    And the sample table is in force
    When the leading controller is killed
    Then a new table can be put and is in force
    And the system still answers

  Scenario: The leader is frozen and thaws while it believes it leads
    Given a system with 3 controller, 1 gateways and 1 agents
    And the sample table is in force
    When the leading controller is frozen
    Then a new table can be put and is in force
    When the frozen controller thaws
    Then the table is still the new one, at each controller
    And the system still answers

  Scenario: A disk is lost, the box is replaced, and another box is lost
    Given a system with 3 controller, 1 gateways and 1 agents
    And the sample table is in force
    When a follower's disk is lost and the operator replaces it
    And another follower is killed
    Then a new table can be put and is in force
    And the system still answers

  Scenario: A full disk ends no process, and nothing is acknowledged on it
    Given a system with 3 controller, 1 gateways and 1 agents
    And the sample table is in force
    When a follower starts again on a disk with no room left
    Then a new table can be put and is in force
    And that controller runs, with code 1702 in its log, and holds no new entry
    And it holds the new table once it starts again with room

  Scenario: An agent is killed in the middle of an answer
    Given a system with 1 controller, 1 gateways and 2 agents
    And the sample table is in force
    When an agent is killed in the middle of a streamed answer
    Then the caller sees the connection break, not an end
    And the system still answers

  Scenario: The same calls through the client library that callers use
    Given a system with 1 controller, 1 gateways and 1 agents
    And the sample table is in force
    When the openai client asks for a chat, streamed and not
    Then both answers are whole
    And it gets an unknown model as its own not-found error

  Scenario: A process without the right key gets nowhere
    Given a system with 1 controller, 1 gateways and 1 agents
    And the sample table is in force
    When a process with a key of its own asks for the state of "g1"
    Then it is not answered and exits 3
    And the system still answers

  Scenario: Making a data folder beside a running system is refused
    Given a system with 3 controller, 1 gateways and 1 agents
    And the sample table is in force
    When an operator runs storage init for one more box
    Then it is refused with code 1402
