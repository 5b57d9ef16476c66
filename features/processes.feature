Feature: Faults of processes and disks in a running system

  Runs real processes on real disks, and kills, freezes and replaces them.

  Scenario: A new leader accepts changes after the leader is killed
    Given a system with 3 controller(s), 2 gateway(s) and 2 agent(s)
    And the sample table is in force
    When the leading controller is killed
    Then a new table can be put and is in force
    And the system still serves requests

  Scenario: A leader that resumes after it was replaced reverts no change
    Given a system with 3 controller(s), 1 gateway(s) and 1 agent(s)
    And the sample table is in force
    When the leading controller is frozen
    Then a new table can be put and is in force
    When the frozen controller resumes
    Then the table is still the new one, at each controller
    And the system still serves requests

  Scenario: A second box may be lost once the first is replaced
    Given a system with 3 controller(s), 1 gateway(s) and 1 agent(s)
    And the sample table is in force
    When a follower's disk is lost and the operator replaces it
    And another follower is killed
    Then a new table can be put and is in force
    And the system still serves requests

  Scenario: A controller with a full disk keeps running and stores nothing
    Given a system with 3 controller(s), 1 gateway(s) and 1 agent(s)
    And the sample table is in force
    When a follower restarts on a full disk
    Then a new table can be put and is in force
    And that controller is running, has logged code 1702 and stored no new entry
    And it stores new entries after a restart with free disk space

  Scenario: A response whose agent is killed does not look complete
    Given a system with 1 controller(s), 1 gateway(s) and 2 agent(s)
    And the sample table is in force
    When an agent is killed in the middle of a streamed response
    Then the caller's connection breaks before the end of the stream
    And the system still serves requests

  Scenario: The openai client library receives chat completions and errors
    Given a system with 1 controller(s), 1 gateway(s) and 1 agent(s)
    And the sample table is in force
    When the openai client requests a chat completion, streamed and not
    Then both answers are complete
    And an unknown model raises the client's not-found error

  Scenario: A process with an unknown key is not answered
    Given a system with 1 controller(s), 1 gateway(s) and 1 agent(s)
    And the sample table is in force
    When a process with an unknown key requests the state of "g1"
    Then it gets no answer and exits with code 3
    And the system still serves requests

  Scenario: Initializing a data folder for a running system is refused
    Given a system with 3 controller(s), 1 gateway(s) and 1 agent(s)
    And the sample table is in force
    When an operator runs storage init for one more box
    Then it is refused with code 1402
