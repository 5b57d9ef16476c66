Feature: Halls are taken out of service and put back

  Operators wait a second for an answer and then send the same order again
  through another box. An acknowledged order survives any fault, and a delayed
  copy of an order does not undo a newer one.

  Scenario Outline: The <message> of an order that takes a hall out <fault>
    Given 3 entries, 3 controllers, and 2 runners in each of 3 halls
    When "south" is taken out while the <message> <fault>, and put back <later> s later
    Then each order is acknowledged within <most> s, and the hall has changed twice
    And no request is sent to "south" from 5 s after the first order until the second
    And requests are sent to "south" again within 3 s of the second order

    Examples:
      | message    | fault                                  | later | most |
      | ReadHalls  | is lost                                | 8     | 5    |
      | ReadHalls  | is duplicated                          | 0     | 5    |
      | ReadHalls  | is delayed                             | 0     | 5    |
      | ReadHalls  | kills its receiver before it arrives   | 8     | 5    |
      | ReadHalls  | freezes its sender                     | 0     | 5    |
      | HallsReply | is lost                                | 8     | 5    |
      | HallsReply | is delayed                             | 0     | 5    |
      | SetHall    | is lost                                | 8     | 5    |
      | SetHall    | is duplicated                          | 0     | 5    |
      | SetHall    | is delayed                             | 0     | 5    |
      | SetHall    | kills its sender before it is sent     | 8     | 5    |
      | SetHall    | kills its sender after it is sent      | 8     | 5    |
      | SetHall    | kills its receiver before it arrives   | 8     | 5    |
      | SetHall    | kills its receiver after it is handled | 8     | 5    |
      | SetHall    | cuts its link in both directions       | 0     | 5    |
      | SetHall    | cuts its link for replies              | 0     | 5    |
      | SetHall    | freezes its sender                     | 0     | 5    |
      | SetHall    | freezes its receiver                   | 0     | 6    |
      | SetHall    | isolates its receiver                  | 8     | 5    |
      | Changes    | is lost                                | 8     | 5    |
      | Changes    | kills its sender before it is sent     | 8     | 5    |

  Scenario Outline: <what> right after a hall was taken out
    Given 3 entries, 3 controllers, and 2 runners in each of 3 halls
    When "south" is taken out, then <what>, and it is put back 12 s later
    Then each order is acknowledged within 5 s, and the hall has changed twice
    And no request is sent to "south" from 5 s after the first order until the second
    And requests are sent to "south" again within 3 s of the second order

    Examples:
      | what                                         |
      | all processes lose power                     |
      | the leader loses its disk                    |
      | an entry is isolated for longer than a lease |
      | its entry and its controllers are lost       |

  Scenario: The newest of the orders on both sides of a partition wins
    Given 3 entries, 3 controllers, and 2 runners in each of 3 halls
    When "south" is taken out on the leader's side of a partition, and out and put back on the other
    Then it is in service at all entries 10 s after the partition has healed

  Scenario: The leader keeps leading when its hall is taken out
    Given 3 entries, 3 controllers, and 2 runners in each of 3 halls
    When "north" is taken out, then nothing happens, and it is put back 12 s later
    Then no request is sent to "north" from 5 s after the first order until the second
    And the same controller leads

  Scenario: Two halls are out of service, and requests go to the third
    Given 3 entries, 3 controllers, and 2 runners in each of 3 halls
    When "north" and "south" are taken out
    Then from 5 s on all requests are sent to "east"

  Scenario: All halls are out of service, and requests are refused at once
    Given 3 entries, 3 controllers, and 2 runners in each of 3 halls
    When "north" and "south" and "east" are taken out
    Then requests are refused within 0.01 s with code 1211 and a Retry-After header

  Scenario: A waiting request is not sent to a hall that was taken out meanwhile
    Given 3 entries, 3 controllers, and 2 runners in each of 3 halls
    When only "south" opens its groups, 0.3 s after it was taken out
    Then the request that waited is refused with code 1211

  Scenario: A process that has just started sends nothing before it has a view
    Given 3 entries, 3 controllers, and 2 runners in each of 3 halls
    When "south" is taken out and an entry starts cut off from the controllers
    Then its requests are refused with code 1207 until it has a view, and none is sent to "south"

  Scenario Outline: An order that <at> while its box is suspended undoes no newer one
    Given an entry's orders for halls
    When the box is suspended for 5 s while an order <at>
    Then in the end the order was <end>

    Examples:
      | at                            | end              |
      | waits for the hall's revision | not sent         |
      | is on its way to the leader   | refused with 503 |

  Scenario: An order whose caller disconnects before it is read is not sent
    Given an entry's orders for halls
    When it reads an order whose caller has disconnected
    Then nothing is sent to the leader

  Scenario: An order that conflicts with a newer one is retried
    Given an entry's orders for halls
    When another order is applied between its two calls
    Then it is applied on the newer revision

  Scenario Outline: An order is accepted or refused by the name of a hall: <name>
    Given an entry's orders for halls
    When the hall <name> is to be taken out and the settings name <known>
    Then the answer is <status> with code <code>

    Examples:
      | name  | known        | status | code |
      | south | south, north | 200    | 0    |
      | south | none         | 200    | 0    |
      | west  | south, north | 404    | 1110 |
      | %2e/x | none         | 400    | 1100 |
      | -s    | none         | 400    | 1100 |

  Scenario: Reloaded settings name a new hall, which then accepts orders
    Given an entry's orders for halls
    When the settings name south, and after a reload west too
    Then an order for west is accepted

  Scenario Outline: Operators run mountridge halls <command>
    Given an entry's orders for halls
    When an operator runs mountridge halls <command>
    Then the command exits with <code> and prints <text>

    Examples:
      | command       | code | text                                     |
      | list          | 0    | south in service 7                       |
      | drain south   | 0    | hall south, state out, revision 8        |
      | restore south | 0    | hall south, state in service, revision 7 |
      | drain west/   | 1    | error 1100                               |

  Scenario Outline: A hall that was put back is ramped up, with <per_s> requests a second
    Given 39 gateways in 3 halls and 72 runners of 5 slots
    And runners report every 0.2 s and the leader forwards reports every 0.0975 s
    When hall "h0" is out of service until 8 s, with <per_s> requests a second that take 0.75 s
    Then its runners get at most <first> requests in the first 0.25 s, and <most> in each 0.25 s

    Examples:
      | per_s | first | most |
      | 144   | 4     | 24   |
      | 216   | 6     | 30   |
      | 288   | 20    | 36   |

  Scenario: A snapshot keeps the state of halls, and one without halls is restored
    Given an empty replicated state
    When runners are registered, and one hall is taken out and put back
    Then its runners are cold until they report otherwise, also after a snapshot
    And a snapshot without halls is restored with none out of service

  Scenario: A deposed controller returns no halls
    Given an empty replicated state
    When a replica that no quorum confirms as the leader is asked for its halls
    Then it returns no halls
