Feature: Faults of real processes

  Scenario: The leader is killed
    Given a system with 3 controller, 2 gateways and 2 agents
    And the sample table is in force
    When the leading controller is killed
    Then a new table can be put and is in force
    And the system still serves requests

  Scenario: A frozen leader resumes while it still considers itself the leader
    Given a system with 3 controller, 1 gateways and 1 agents
    And the sample table is in force
    When the leading controller is frozen
    Then a new table can be put and is in force
    When the frozen controller resumes
    Then each controller has the new table
    And the system still serves requests

  Scenario: A disk is lost, the box is replaced, and another box is lost
    Given a system with 3 controller, 1 gateways and 1 agents
    And the sample table is in force
    When a follower's disk is lost and the operator replaces it
    And another follower is killed
    Then a new table can be put and is in force
    And the system still serves requests

  Scenario: A full disk ends no process, and nothing is acknowledged on it
    Given a system with 3 controller, 1 gateways and 1 agents
    And the sample table is in force
    When a follower restarts on a disk with no space left
    Then a new table can be put and is in force
    And that controller runs, has logged code 1702 and stores no new entry
    And it stores new entries after a restart with free space

  Scenario: An agent is killed in the middle of an answer
    Given a system with 1 controller, 1 gateways and 2 agents
    And the sample table is in force
    When an agent is killed in the middle of a streamed answer
    Then the caller's connection breaks before the end of the answer
    And the system still serves requests

  Scenario: Requests through the OpenAI client library
    Given a system with 1 controller, 1 gateways and 1 agents
    And the sample table is in force
    When the openai client requests a chat, streamed and not streamed
    Then both answers are complete
    And it raises its not-found error for an unknown model

  Scenario: A process with an unknown key gets no answer
    Given a system with 1 controller, 1 gateways and 1 agents
    And the sample table is in force
    When a process with an unknown key requests the state of "g1"
    Then it gets no answer and exits with status 3
    And the system still serves requests

  Scenario: Creating a data folder while the system is running is refused
    Given a system with 3 controller, 1 gateways and 1 agents
    And the sample table is in force
    When an operator runs storage init for one more box
    Then it is refused with code 1402
