Feature: Requests by routes, runners that register themselves, and expert maps

  Scenario Outline: The route of the longest prefix that begins the path
    Given routes for a.example at / and /x/ and /x/y/
    Then a request for <host> with the path <path> takes the route <route>

    Examples:
      | host      | path     | route  |
      | a.example | /x/y/2   | /x/y/  |
      | a.example | /x/y     | /x/    |
      | A.example | /x/      | /x/    |
      | a.example | /z       | /      |
      | b.example | /x/      | none   |

  Scenario Outline: A routes document that contradicts itself is refused whole
    Given a routes document whose <fault>
    Then the whole of it is refused with code 1502

    Examples:
      | fault                             |
      | route names an unknown service    |
      | routes share a host and a prefix  |
      | weights add up to nothing         |
      | time-out is nothing               |
      | teams share a key                 |
      | text is cut short                 |

  Scenario: The highest version of the routes holds, whatever comes later
    Given a replicated state
    When routes of the versions 3, 7, 5, 7 and 6 are put in this order
    Then version 7 with its first content is held, also after a snapshot

  Scenario: A runner that left never comes back, and its address may be reused
    Given a replicated state
    When a runner registers, leaves, and a late heartbeat of it comes
    Then it has left
    When another runner registers at the address of a live one
    Then the live one has left and the other is ready

  Scenario Outline: A heartbeat that comes late does not undo a newer one
    Given a leader's registry
    When a runner says <first> with number 5 and then <second> with number <n>
    Then it is held as <held>

    Examples:
      | first    | second   | n | held     |
      | draining | ready    | 4 | draining |
      | ready    | draining | 6 | draining |
      | draining | ready    | 6 | ready    |

  Scenario Outline: One map in every pass, with orders that are <fault>
    Given a group of 4 engines whose demand shifts each second
    When sidecars and a leader change its maps for 40 s with orders <fault>
    Then no pass was made with two maps
    And the maps were changed at least <changes> times
    And the group is not held at the end

    Examples:
      | fault                                       | changes |
      | followed at once                            | 8       |
      | lost 3 in 10 times                          | 4       |
      | unanswered and carried out 2 to 12 s later  | 1       |
      | followed while the leader changes each 3 s  | 3       |
      | late while the leader changes each 3 s      | 1       |
      | late while the leader changes each 0.7 s    | 1       |

  Scenario: Orders go out as soon as the last rank has reported
    Given a group of 4 engines whose demand shifts each second
    When sidecars and a leader change its maps for 40 s with orders followed at once
    Then a change took at most 0.35 s from its plan to its use in the middle
    And each change took at most 100 reports

  Scenario: An order that is lost on its way comes with the answer to a report
    Given a group of 4 engines whose demand shifts each second
    When sidecars and a leader change its maps for 40 s with half of the pushes lost and sidecars that rest 0.5 s
    Then no pass was made with two maps
    And the maps were changed at least 30 times
    And the group stood still for at most 0.3 s a change

  Scenario: Orders that go unanswered hardly hold a group up
    Given a group of 4 engines whose demand shifts each second
    When sidecars and a leader change its maps for 40 s with orders unanswered and carried out 2 to 12 s later
    Then the group stood still for at most 0.1 s a change

  Scenario Outline: Whoever is lost right after a hold hardly holds a group up
    Given a group of 4 engines whose demand shifts each second
    When sidecars and a leader change its maps for 40 s with <lost> of each hold frozen for 4 s
    Then the group stood still for at most <most> s in all
    And no pass was made with two maps
    And the maps were changed at least <changes> times

    Examples:
      | lost                              | most | changes |
      | the sidecar, no other box holding | 8    | 4       |
      | the box                           | 1    | 20      |

  Scenario: A dead rank begins a new epoch, and the change under way is over
    Given a group of 4 engines whose demand shifts each second
    When sidecars and a leader change its maps for 40 s with ranks dying each 5 s
    Then no pass was made with two maps
    And the group is not held at the end

  Scenario Outline: The budget of repeated sends holds over all gateways
    Given <gateways> gateways that share a budget of 0.2 and 96 in 10 s
    When each sends <firsts> requests in 20 s and repeats all it may
    Then no 10 s hold more repeated sends than the budget

    Examples:
      | gateways | firsts |
      | 1        | 10     |
      | 10       | 100    |
      | 37       | 300    |

  Scenario: Log lines are bounded, and those left out are counted
    Given a log sink that allows 10 lines a second
    When 100 lines come at once, and one more 3 s later
    Then 21 lines and one that tells of 80 left out were written

  Scenario: A reader that takes nothing delays nobody
    Given a log sink that allows 10 lines a second
    When its reader takes nothing and 5 lines come
    Then 4 of them are counted as left out

  Scenario: After a loss of power, entries find the leader by a seed with no disk
    Given 4 entries of which 3 have a disk, with routes in force
    When all are killed and start again with only the fourth as their seed
    Then all 4 are ready again within 15 s

  Scenario: A lost disk joins as new, and holds what was acknowledged
    Given 4 entries of which 3 have a disk, with routes in force
    When an entry is killed, its disk is emptied, and it starts again
    Then it is a voter within 15 s, under another identity

  Scenario: A call that waits in vain does not turn others from the leader
    Given a leader, and a controller asked first that says nothing
    When 12 calls begin 0.1 s apart
    Then each is answered within 0.6 s

  Scenario Outline: An order to an engine that <fault> ends nothing but itself
    Given an engine that <fault>
    When an order is given to it
    Then the order's outcome is <outcome>

    Examples:
      | fault                   | outcome   |
      | can not be reached      | not given |
      | gives no answer         | unknown   |
      | refuses what is asked   | refused   |

  Scenario Outline: A planned stop leaves time to answer what it has taken
    Given an entry with a grace of <grace_s> s whose addresses live for <ttl_s> s
    When it is told to stop with a request that never ends
    Then it takes new requests for <taken_s> s and is over after <over_s> s

    Examples:
      | grace_s | ttl_s | taken_s | over_s |
      | 8       | 1     | 3       | 7.5    |
      | 8       | 2     | 3.2     | 7.5    |
      | 4       | 1     | 1.6     | 3.5    |

  Scenario: A leader that is heard of again is asked again at once
    Given a leader that says nothing for 1 s, and two that do not lead
    When calls go on meanwhile, and a late reply of it comes after 1 s
    Then the next call is answered within 0.3 s

  Scenario: A connection whose opening packet is dropped is begun anew
    Given an address whose queue of new connections is full
    When a process connects to it
    Then it begins the connection anew without waiting for the system

  Scenario: The platform's names stay in its folder
    Then nothing outside the folder platform names its headers or calls
    And Python's own platform module is found with that folder on the path
