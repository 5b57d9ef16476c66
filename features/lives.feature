Feature: Lives of a runner, and words that change nothing

  # A word is ID ADDRESS START COUNT [STATE]; start 0 is not told, the clock
  # begins at 1000 s. What holds is ID ADDRESS START LIFE.
  Scenario Outline: <what>
    Given a registry that has heard nothing
    When it hears <words>
    Then it holds <held>, also where a new leader takes each word

    Examples: Starts under one id
      | what                                     | words                                 | held         |
      | a later start is a new life              | a X 990 5, a X 995 1                  | a X 995 2    |
      | a later start may be elsewhere           | a X 990 5, a Y 995 1                  | a Y 995 2    |
      | an earlier life says nothing             | a X 995 1, a X 990 9                  | a X 995 1    |
      | an earlier life says nothing elsewhere   | a X 995 1, a Y 990 9                  | a X 995 1    |
      | a late count says nothing                | a X 990 5 draining, a X 990 4         | a X 990 1 draining |
      | a late count says nothing without starts | a X 0 5 draining, a X 0 4             | a X 0 1 draining |
      | one life does not move                   | a X 990 5, a Y 990 6                  | a X 990 1    |
      | one life does not move without starts    | a X 0 5, a Y 0 6                      | a X 0 1      |
      | a count anew without a start is late     | a X 0 9, a X 0 1                      | a X 0 1      |
      | a life that gains its start is new       | a X 0 5, a X 995 1                    | a X 995 2    |
      | a life that loses its start is passed by | a X 990 5, a X 0 6 draining           | a X 990 1    |
      | a start in the future is none            | a X 990 5, a X 9999 1                 | a X 990 1    |

    Examples: Lives that are over
      | what                                     | words                                 | held         |
      | who left stays away                      | a X 990 5, leave a, a X 990 6         | nothing      |
      | who left stays away without starts       | a X 0 5, leave a, a X 0 6             | nothing      |
      | who left may start again                 | a X 990 5, leave a, a X 995 1         | a X 995 2    |
      | a start from before the leave is old     | a X 0 5, leave a, a X 990 6           | nothing      |
      | a start after the leave is new           | a X 0 5, leave a, a X 1005 1          | a X 1005 2   |
      | a leave may come first                   | leave a, a X 990 1                    | nothing      |
      | a leave that names a life may come first | leave a 990, a X 990 1                | nothing      |
      | after an early leave another may start   | leave a, a X 1005 1                   | a X 1005 1   |
      | who was silent comes back                | a X 990 5, wait 16, a X 990 6         | a X 990 2    |
      | who crashed comes back without a start   | a X 0 9, wait 16, a Y 0 1             | a Y 0 2      |
      | who lost its start comes back            | a X 990 9, wait 16, a X 0 1           | a X 0 2      |
      | who left in silence stays away           | a X 0 9, wait 16, leave a, a X 0 10   | nothing      |

    Examples: Runners at one address
      | what                                     | words                                 | held         |
      | a later start has the address            | a X 990 5, b X 995 1                  | b X 995 1    |
      | an earlier runner comes late             | a X 990 5, b X 995 1, a X 990 6       | b X 995 1    |
      | an unknown earlier runner comes late     | b X 995 1, a X 990 6                  | b X 995 1    |
      | also where the later one has left        | b X 995 1, leave b, a X 990 6         | nothing      |
      | who registered later has the address     | a X 0 5, b X 0 1                      | b X 0 1      |
      | the earlier one stays away meanwhile     | a X 0 5, b X 0 1, a X 0 6             | b X 0 1      |
      | and comes back when it is free           | a X 0 5, b X 0 1, leave b, a X 0 6    | a X 0 2      |
      | but not by a word from before            | a X 0 5, b X 0 1, leave b, a X 0 4    | nothing      |
      | no start pushes none that tells it off   | a X 990 5, b X 0 1                    | a X 990 1    |
      | a start pushes one that tells none off   | a X 0 5, b X 995 1                    | b X 995 1    |
      | a restart pushes an earlier one off      | a X 990 5, b Y 991 1, a Y 995 1       | a Y 995 2    |

    Examples: Late leaves
      | what                                     | words                                     | held         |
      | a leave of a former life says nothing    | a X 990 5, a X 995 1, leave a 990         | a X 995 2    |
      | one that names none says nothing early   | a X 990 5, a X 995 1, leave a             | a X 995 2    |
      | and ends the life later                  | a X 990 5, a X 995 1, wait 11, leave a    | nothing      |
      | but for one from a box with an old view  | a X 990 5, a X 995 1, wait 11, leave a #1 | a X 995 2    |
      | who drains is meant itself               | a X 990 5, a X 995 1 draining, leave a    | nothing      |
      | who names its life is meant              | a X 990 5, a X 995 1, leave a 995         | nothing      |
      | a first life has none before it          | a X 995 1, leave a                        | nothing      |

  Scenario: A leader remembers counts that changed nothing
    Given a registry that has heard nothing
    When it hears a X 0 1, a X 0 9, a X 0 4, a X 0 6 draining
    Then it holds a X 0 1 while one leader takes all words

  Scenario Outline: A <word> of a former life that was under way to the log
    Given a replicated state in which a runner has started again
    When a <word> of its former life is committed after that
    Then the new life holds

    Examples:
      | word      |
      | heartbeat |
      | leave     |

  Scenario: A leave of a former life that was under way when nothing was held
    Given a replicated state in which a runner has started again
    When a leave of an older start, made on nothing held, is committed after it
    Then the new life holds

  Scenario: Words in any order leave the newest life of each runner
    Given words of runners that start again, at few addresses
    When they come late, twice, and with leaders between
    Then each id has the latest start heard, and each address one runner
    And no word brings back a life that has left

  Scenario Outline: A gateway knows nothing of a new life that was <spoiled>
    Given a gateway that knows a runner which was <spoiled>
    When the runner starts again under its id
    Then it is taken like any other, and its address is to be forgotten
    When an answer of the former life comes late
    Then it is taken like any other

    Examples:
      | spoiled      |
      | left out     |
      | replaced     |
      | refusing     |
      | slow         |
      | full         |

  Scenario: Another runner at an address is reached by new connections
    Given a gateway that knows a runner which was full
    When another runner registers at its address
    Then its address is to be forgotten

  Scenario: What is under way to a former life may have run
    Given a runner on loopback, and kept connections to it
    When it is told to have started again, while a request is under way
    Then no connection of before is used again
    When it breaks off while a request is under way
    Then that request may have run

  Scenario Outline: A heartbeat with <wrong> changes nothing
    Given a runner that is held
    When a heartbeat with <wrong> comes, in either spelling
    Then it is refused with code 1111, counted under <cause>, and logged once

    Examples:
      | wrong                 | cause      |
      | no service            | fields     |
      | no address            | fields     |
      | no state              | fields     |
      | no slots              | fields     |
      | no count              | fields     |
      | a null count          | fields     |
      | a negative count      | range      |
      | a fraction as count   | fields     |
      | text as count         | fields     |
      | a huge count          | range      |
      | a nested count        | fields     |
      | a null start          | fields     |
      | a negative start      | range      |
      | a fraction as start   | fields     |
      | text as start         | fields     |
      | a huge start          | range      |
      | a start of true       | fields     |
      | negative slots        | range      |
      | a huge number of slots | range     |
      | a negative cold time  | range      |
      | an unknown state      | state      |
      | a state of ours only  | state      |
      | a number as state     | fields     |
      | an empty service      | names      |
      | a very long service   | names      |
      | an address with no port | address  |
      | an address by name    | address    |
      | a port over 65535     | address    |
      | an address in digits of another script | address |
      | an empty id           | id         |
      | a very long id        | id         |
      | control characters as id | id      |
      | a slash in its id     | id         |
      | a list as body        | fields     |
      | an empty body         | unreadable |
      | half of a body        | unreadable |
      | bytes that are no UTF-8 | unreadable |
      | bytes that are no UTF-8 in an unknown field | unreadable |
      | a body nested 30000 deep | unreadable |
      | a body of 1 MB        | size       |

  Scenario Outline: A leave with <wrong> changes nothing
    Given a runner that is held
    When a leave with <wrong> comes, in either spelling
    Then it is refused with code 1111, counted under <cause>, and logged once

    Examples:
      | wrong               | cause      |
      | text as start       | fields     |
      | a negative start    | range      |
      | half of a body      | unreadable |
      | an empty id         | id         |

  Scenario Outline: A heartbeat that names <what> is refused
    Given a registry whose deployment has the hall north and the service s
    When a runner that is held at X is followed by one with <what> at X
    Then the answer is <code>, and the runner at X stays

    Examples:
      | what              | code |
      | another service   | 1112 |
      | another hall      | 1110 |

  Scenario: A runner whose service is named no more may still say that it drains
    Given a registry whose deployment has the hall north and the service s
    When a held runner drains after its service was taken out of the routes
    Then the registry has it as draining

  Scenario: Any bytes are a heartbeat of a runner, or are refused
    When 1200 bodies are made of random bytes, values and mutations
    Then each spelling reads a heartbeat that can be held, or refuses it

  Scenario: Whatever an engine answers is a state, or is refused
    When an engine answers 300 bodies made of random values and mutations
    Then each is a state that can be reported, or a coded error

  Scenario Outline: Routes that are nested too deep are refused in <form>
    When routes that are nested 30000 deep are read in <form>
    Then they are refused with a code

    Examples:
      | form                |
      | our own form        |
      | the platform's form |

  Scenario: Ranks that start again under their ids
    Given a group of 4 engines whose demand shifts each second
    When sidecars and a leader change its maps for 40 s with orders followed while ranks restart
    Then no pass was made with two maps
    And the maps were changed at least 8 times
    And the group is not held at the end

  Scenario: Counts that begin anew are no choices
    Given a sidecar whose engine has counted 5 and 7 choices
    When the engine counts anew, 1 and 9
    Then no choices are told, and none are made up

  Scenario: A report of a former life tells nothing
    Given a leader that knows a rank by a start that is told
    When a report of its former life comes late
    Then no load is passed on, and no order is given

  Scenario: An emulated runner that starts again is a new life everywhere
    Given an emulated runner, a registry and a gateway that follows it
    When it fails there, starts again and says so
    Then the gateway sends it requests at once

  Scenario Outline: A runner tells "<told>" of its idle connections
    Given a runner on loopback, and kept connections to it
    When it tells so, and another request comes after <rest_s> s
    Then <opened> connections have been opened

    Examples:
      | told               | rest_s | opened |
      | timeout=2          | 1.4    | 1      |
      | timeout=2          | 1.6    | 2      |
      | max=9, Timeout = 3 | 2.6    | 2      |
      | timeout=60         | 3.9    | 1      |
      | timeout=60         | 4.1    | 2      |
      | timeout=soon       | 3.9    | 1      |
      | nothing            | 3.9    | 1      |
