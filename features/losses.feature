Feature: Loss of controllers, of whole halls and of two boxes

  Writes stop while no leader is known, and for good if a majority of voters
  is lost with one hall.

  Scenario: A delayed leader is waited for and gets the call once
    Given 3 controllers of which the last one leads and answers after 0.35 s
    And a process that knows the leader
    When a call is made
    Then it is answered after 0.35 s and was sent once

  Scenario: All controllers are asked for the leader at once
    Given 6 controllers of which the last one leads and 5 do not reply
    When a call is made
    Then it is answered after 0.2 s and was sent once

  Scenario: Calls waiting for a lost leader go to the next one once it is found
    Given 3 controllers of which the last one leads and 2 do not reply
    When calls start 0.01 s apart for 0.19 s
    Then all are answered 0.2 s after the first one started

  Scenario: Connections opened by a search are closed at its end
    Given 6 controllers of which the last one leads and 5 do not reply
    When a call is made
    Then 1 connection is open

  Scenario: A search continues for another call when its own times out
    Given 3 controllers of which the last one leads and none knows it until 1 s
    When a call times out after 0.5 s, while another one waits
    Then the other one is answered within 1.1 s

  Scenario: An outdated leader name is followed once
    Given 3 controllers of which the last one leads and 2 name each other
    When a call is made
    Then it is answered within 0.1 s
    And the controllers that do not lead received it 2 times

  Scenario: A controller replies to a leader query once the leader is known
    Given 5 voters in 3 halls
    When a box asks a follower for the leader, and the leader is killed
    Then the reply names the next leader
    And the box asked at most 4 times

  Scenario: A box with a controller calls the leader that its replica follows
    Given 5 voters in 3 halls
    When the leader is killed
    Then boxes with a controller call the next leader before any call fails

  Scenario Outline: With <count> of 5 controllers lost, a new leader is elected soon
    Given 5 controllers with a leader
    When the leader and the first <more> followers are lost
    Then a leader is elected within 0.7 s, in 30 of 30 runs

    Examples:
      | count | more |
      | 1     | 0    |
      | 2     | 1    |

  Scenario: A candidate that is too early for the other voters retries soon
    Given 3 controllers with a leader
    When the first follower receives nothing from 0.2 s before the leader is lost
    Then a leader is elected within 0.85 s, in 30 of 30 runs

  Scenario Outline: Of two voters that start an election at the same moment <first> is elected
    Given <count> controllers with a leader
    When two followers start an election at the same moment after it is lost
    Then a leader is elected within 0.08 s, in 30 of 30 runs

    Examples:
      | first       | count |
      | one of two  | 3     |
      | one of four | 5     |

  Scenario: The only voter that can be elected soon requests votes again
    Given 3 controllers with a leader
    When only the first follower has an entry, and loses the leader 0.2 s earlier
    Then a leader is elected within 0.9 s, in 30 of 30 runs

  Scenario Outline: Voters are placed so that a hall can be lost: <voters>, <unresponsive> unresponsive
    Given voters in <voters>, and learners in <learners>
    When <unresponsive> are unresponsive and 1 halls may be lost
    Then the voters are placed in <after> by <changes> changes
    And there were never fewer than <least> voters
    And one voter changed at a time

    Examples: a replacement never places a majority in a hall, one swap at a time
      | voters                   | learners        | unresponsive      | after                    | changes | least |
      | north 2, south 2, west 1 | no hall         | none              | north 2, south 2, west 1 | 0       | 5     |
      | north 2, south 2, west 1 | west 1          | none              | north 2, south 2, west 1 | 0       | 5     |
      | north 2, south 2, west 1 | west 1          | north2            | north 1, south 2, west 2 | 2       | 5     |
      | north 2, south 2, west 1 | north 1         | west1             | north 2, south 2, west 1 | 0       | 5     |
      | north 2, south 2, west 1 | north 1, west 1 | south1 and south2 | north 2, south 1, west 2 | 2       | 5     |
      | north 3, south 2         | west 1          | none              | north 2, south 2, west 1 | 2       | 5     |
      | north 3, south 2         | west 1          | south1            | north 2, south 2, west 1 | 2       | 5     |
      | north 3, south 2         | north 1         | none              | north 3, south 2         | 0       | 5     |
      | north 4, south 1         | west 2          | none              | north 2, south 1, west 2 | 4       | 5     |
      | north 3, south 2         | north 1         | north2            | north 3, south 2         | 2       | 5     |
      | north 1, south 1, west 1 | south 1         | none              | north 1, south 1, west 1 | 0       | 3     |
      | north 2, south 1         | west 1          | none              | north 1, south 1, west 1 | 2       | 3     |
      | north 2, south 2         | north 1, west 1 | none              | north 2, south 2, west 1 | 1       | 4     |

  Scenario: Below the wanted number, an unresponsive voter is replaced in its own hall
    Given voters in north 1, south 1, west 1, and learners in west 1
    When west1 are unresponsive and 1 halls may be lost, with 5 voters wanted
    Then the voters are placed in north 1, south 1, west 1 by 2 changes
    And the unresponsive ones are no voters

  Scenario Outline: A fourth voter is added only with a fifth: <learners> available
    Given voters in north 1, south 1, west 1, and learners in <learners>
    When none are unresponsive and 1 halls may be lost, with 5 voters wanted
    Then the voters are placed in <after> by <changes> changes

    Examples:
      | learners         | after                    | changes |
      | south 1          | north 1, south 1, west 1 | 0       |
      | north 1, south 1 | north 2, south 2, west 1 | 2       |

  Scenario: Random losses and returns never place a majority in one hall
    When boxes are lost, return and lose their disks in 60 random orders
    Then no change gives one hall a majority that it did not have

  Scenario: A responsive learner in a better hall is waited for
    Given voters in north 2, south 1, west 1, and learners in north 1
    And a learner in south that responds, but has not caught up yet
    Then no voter is added until it has caught up, and then one from south

  Scenario: Without tolerated hall losses, boxes are replaced in any hall
    When boxes are replaced without tolerated hall losses
    Then the first learner is promoted and then the unresponsive voter removed

  Scenario: A set of controllers that was written without halls is kept as it was
    Then a set of controllers without halls is read, and written unchanged

  Scenario: A log written without halls is read, and voters are placed
    Given 5 voters in 3 halls
    When a leader has read a log without halls
    Then it soon knows the halls of all, and voters are placed in 3 of them

  Scenario Outline: <which> <are> <fault>, and writes continue
    Given 5 voters in 3 halls
    When <which> <are> <fault>, while writes continue
    Then each write is acknowledged within 1.2 s
    And no reachable box loses its lease
    And no reachable box lists a lost one 4 s after the loss
    And each box reads what was acknowledged
    And 5 voters are placed so that any hall can be lost

    Examples:
      | which                     | are | fault            |
      | the hall with the leader  | is  | killed           |
      | the hall with the leader  | is  | cut off          |
      | the hall with the leader  | is  | killed and wiped |
      | a hall without the leader | is  | killed           |
      | a hall without the leader | is  | cut off          |
      | a hall without the leader | is  | killed and wiped |
      | the leader and another    | are | killed           |
      | the leader and another    | are | killed and wiped |
      | two followers             | are | killed           |
      | two followers             | are | killed and wiped |

  Scenario: A box that starts while the first seed is lost finds the leader
    Given 5 voters in 3 halls
    When the hall with the first seed is lost, and a box elsewhere restarts
    Then it holds a lease within 1.2 s

  Scenario: A large hall that is lost with the leader is no longer listed
    Given 5 voters in 3 halls
    When the hall with the leader, of 24 boxes, is lost
    Then no reachable box lists a lost one 4 s after the loss

  Scenario: Orders to ranks are sent by responsive boxes only
    Given 5 voters in 3 halls
    When a hall is cut off, and 12 orders to ranks are sent by others
    Then no box in it sends one, and each other box without a disk sends some

  Scenario: A majority of voters in one hall is reported if boxes allow no better
    Given 3 boxes with a disk in north, one in south and one in west
    When they form a cluster, and another one in south starts later
    Then a gauge and one log line report that the loss of north stops the log
    And later that it does not, with 2 voters in north and 2 in south
