Feature: Quarantine of parts of prompts that crash their runners

  Requests that share a part of their prompts, and are otherwise not alike,
  would take down one runner after the other, and the requests beside them.

  Scenario Outline: Requests with a harmful part of <kind>, the <place> one, while <case>
    Given 16 runners of <kind>
    When requests share a harmful <place> part from 5 s on, beside sound ones, for 55 s, while <case>
    Then at most 3 of them reach runners later than 3 s after the fifth crash
    And 9 of 10 sound requests are served from 6 s after the last crash on
    And no sound request is refused for its parts for longer than 15 s

    Examples:
      | kind            | place  | case                                     |
      | a plain service | middle | nothing else happens                     |
      | a plain service | first  | nothing else happens                     |
      | a plain service | middle | each is sent once more by its caller     |
      | a plain service | middle | each caller leaves at once               |
      | a plain service | middle | the leader is killed after one crash     |
      | a plain service | middle | the leader is killed after two crashes   |
      | a plain service | middle | a gateway is partitioned after one crash |
      | a plain service | middle | all power is lost after two crashes      |
      | a plain service | middle | other runners crash every 4 s            |
      | a plain service | middle | half of the runners crash at once        |
      | a plain service | middle | a second part is harmful too             |
      | a plain service | middle | several teams send them                  |
      | a plain service | middle | others use a part that comes with it     |
      | a group         | middle | nothing else happens                     |
      | a group         | first  | nothing else happens                     |
      | a group         | middle | each is sent once more by its caller     |
      | a group         | middle | the leader is killed after two crashes   |
      | a group         | middle | all power is lost after two crashes      |
      | a group         | middle | a second part is harmful too             |
      | a group         | middle | several teams send them                  |
      | a group         | middle | others use a part that comes with it     |

  Scenario Outline: Requests with a harmful part behind agents, while <case>
    Given 8 agents with a runner each
    When requests share a harmful part from 3 s on, beside sound ones, for 50 s, while <case>
    Then at most 3 of them reach runners behind agents later than 3 s after the fifth crash
    And 9 of 10 sound ones are served from 6 s after the last crash on

    Examples:
      | case                                 |
      | nothing else happens                 |
      | each is sent once more by its caller |
      | the leader is killed                 |

  Scenario: A repeated request that crashes runners behind agents is held back
    Given 8 agents with a runner each
    When the same request is sent every second through another gateway for 20 s
    Then it has crashed at most 3 runners, and is refused as quarantined

  Scenario Outline: An answer that <progress> when its runner crashes is <suspect>
    Given a gateway whose runner crashes beneath a request with a part in its prompt
    When its answer <progress>
    Then the part is <suspect>

    Examples:
      | progress                      | suspect      |
      | has not begun                 | suspected    |
      | has 2 events in 0.08 s        | suspected    |
      | has 2 events in 3 s           | suspected    |
      | has 12 events in 0.2 s        | suspected    |
      | has 12 events in 0.7 s        | not suspected |

  # Guards against a harmful part that a refusal or an empty answer clears.
  Scenario Outline: A complete <answer> <clears> the parts of its prompt
    Given a gateway whose runner crashes beneath a request with a part in its prompt
    When its answer has not begun
    And another request with that part gets a <answer>
    Then that <clears> the part

    Examples:
      | answer                      | clears         |
      | plain answer with 200       | clears         |
      | plain answer with 404       | does not clear |
      | stream of 5 events with 200 | clears         |
      | stream of 0 events with 200 | does not clear |

  # Guards against requests that were checked on arrival only, and are sent
  # after a wait.
  Scenario: A request whose part is quarantined while it connects is not sent
    Given 6 runners of a plain service
    When a request with a part takes 1 s to connect, and the part is quarantined meanwhile
    Then it has reached no runner, and is refused with that code

  Scenario: The last part of a prompt is its request's own, and is never held back
    Given 6 runners of a plain service
    When requests of which each names a harmful last part of its own are sent, and sound ones with the same first part
    Then no part is quarantined
