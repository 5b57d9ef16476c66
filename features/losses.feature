Feature: Controllers, whole halls and two boxes are lost

  Scenario: A leader that is late is waited for, and gets the call once
    Given 3 controllers of which the last one leads and answers after 0.35 s
    And a process that knows that
    When a call is made
    Then it is answered after 0.35 s and was sent once

  Scenario: All controllers are asked at once for the leader
    Given 6 controllers of which the last one leads and 5 say nothing
    When a call is made
    Then it is answered after 0.2 s and was sent once

  Scenario: Calls that wait at a lost leader go to the next one once it is found
    Given 3 controllers of which the last one leads and 2 say nothing
    When calls begin 0.01 s apart for 0.19 s
    Then all are answered 0.2 s after the first one began

  Scenario: What a search has opened is closed at its end
    Given 6 controllers of which the last one leads and 5 say nothing
    When a call is made
    Then 1 connection is open

  Scenario: A search whose call is given up goes on for another call
    Given 3 controllers of which the last one leads and all know of none until 1 s
    When a call is given up after 0.5 s, while another one waits
    Then the other one is answered within 1.1 s

  Scenario: A name that is out of date is followed once
    Given 3 controllers of which the last one leads and 2 name each other
    When a call is made
    Then it is answered within 0.1 s
    And those that do not lead were sent it 2 times

  Scenario: A controller tells who leads once it is known, not before
    Given 5 voters in 3 halls
    When a box asks a follower who leads, and the leader is killed
    Then it is answered by the name of the next leader
    And it has asked at most 4 times

  Scenario: A box with a controller goes to the leader that its replica follows
    Given 5 voters in 3 halls
    When the leader is killed
    Then boxes with a controller ask the next leader before any call fails

  Scenario Outline: With <count> of 5 controllers lost, the next leader is there soon
    Given 5 controllers that follow a leader
    When it and the first <more> that follow it are lost
    Then there is a leader within 0.7 s, in 30 of 30 plays

    Examples:
      | count | more |
      | 1     | 0    |
      | 2     | 1    |

  Scenario: A voter that stands before the others miss the leader stands again soon
    Given 3 controllers that follow a leader
    When the first follower hears nothing from 0.2 s before the leader is lost
    Then there is a leader within 0.85 s, in 30 of 30 plays

  Scenario Outline: Of two voters that stand at the same moment <first> is elected
    Given <count> controllers that follow a leader
    When two of the rest stand at the same moment after it is lost
    Then there is a leader within 0.08 s, in 30 of 30 plays

    Examples:
      | first          | count |
      | one of two     | 3     |
      | one of four    | 5     |

  Scenario: The only voter that may be elected asks again soon
    Given 3 controllers that follow a leader
    When the first follower alone has an entry, and misses the leader 0.2 s earlier
    Then there is a leader within 0.9 s, in 30 of 30 plays

  Scenario Outline: Voters stand so that a hall can go: <voters>, <silent> silent
    Given voters in <voters>, and learners in <learners>
    When <silent> are silent and 1 halls may be lost
    Then the voters come to stand in <after> by <changes> changes
    And there were never fewer than <least> voters
    And one voter changed at a time

    Examples: a replacement never gathers a majority, one swap at a time
      | voters                   | learners         | silent            | after                    | changes | least |
      | north 2, south 2, west 1 | no hall          | none              | north 2, south 2, west 1 | 0       | 5     |
      | north 2, south 2, west 1 | west 1           | none              | north 2, south 2, west 1 | 0       | 5     |
      | north 2, south 2, west 1 | west 1           | north2            | north 1, south 2, west 2 | 2       | 5     |
      | north 2, south 2, west 1 | north 1          | west1             | north 2, south 2, west 1 | 0       | 5     |
      | north 2, south 2, west 1 | north 1, west 1  | south1 and south2 | north 2, south 1, west 2 | 2       | 5     |
      | north 3, south 2         | west 1           | none              | north 2, south 2, west 1 | 2       | 5     |
      | north 3, south 2         | west 1           | south1            | north 2, south 2, west 1 | 2       | 5     |
      | north 3, south 2         | north 1          | none              | north 3, south 2         | 0       | 5     |
      | north 4, south 1         | west 2           | none              | north 2, south 1, west 2 | 4       | 5     |
      | north 3, south 2         | north 1          | north2            | north 3, south 2         | 2       | 5     |
      | north 1, south 1, west 1 | south 1          | none              | north 1, south 1, west 1 | 0       | 3     |
      | north 2, south 1         | west 1           | none              | north 1, south 1, west 1 | 2       | 3     |
      | north 2, south 2         | north 1, west 1  | none              | north 2, south 2, west 1 | 1       | 4     |

  Scenario: With places free, a silent voter is still replaced in its own hall
    Given voters in north 1, south 1, west 1, and learners in west 1
    When west1 are silent and 1 halls may be lost, with 5 voters wanted
    Then the voters come to stand in north 1, south 1, west 1 by 2 changes
    And the silent ones are no voters

  Scenario Outline: A fourth voter comes only with a fifth: <learners> at hand
    Given voters in north 1, south 1, west 1, and learners in <learners>
    When none are silent and 1 halls may be lost, with 5 voters wanted
    Then the voters come to stand in <after> by <changes> changes

    Examples:
      | learners         | after                    | changes |
      | south 1          | north 1, south 1, west 1 | 0       |
      | north 1, south 1 | north 2, south 2, west 1 | 2       |

  Scenario: Random losses and returns never gather a majority in one hall
    When boxes are lost, return and lose their disks in 60 random orders
    Then no change lets one hall hold a majority that it did not hold

  Scenario: A learner in a better hall that answers is awaited
    Given voters in north 2, south 1, west 1, and learners in north 1
    And a learner in south that answers, but has not caught up yet
    Then the next voter is awaited, and then taken from south

  Scenario: Where no halls are to be borne, boxes are replaced as before
    When boxes are replaced where no halls are to be borne
    Then the first learner takes the place that was made for it

  Scenario: A set of controllers written before halls were told
    Then a set of controllers that tells no halls is read, and written as it was

  Scenario: A log written before halls were told
    Given 5 voters in 3 halls
    When a leader has read a log that tells no halls
    Then it knows the halls of all soon, and voters stand in 3 of them

  Scenario Outline: <which> <are> <fault>, and orders go on
    Given 5 voters in 3 halls
    When <which> <are> <fault>, while orders go on
    Then each order is acknowledged within 1.2 s
    And no box that is reached loses its lease
    And no box that is reached names a lost one 4 s after the loss
    And what was acknowledged is read at each box
    And 5 voters stand so that any hall can go

    Examples:
      | which                     | are | fault                      |
      | the hall with the leader  | is  | killed                     |
      | the hall with the leader  | is  | cut off                    |
      | the hall with the leader  | is  | killed with empty disks    |
      | a hall without the leader | is  | killed                     |
      | a hall without the leader | is  | cut off                    |
      | a hall without the leader | is  | killed with empty disks    |
      | the leader and another    | are | killed                     |
      | the leader and another    | are | killed with empty disks    |
      | two that follow           | are | killed                     |
      | two that follow           | are | killed with empty disks    |

  Scenario: A box that starts while the first seed is lost finds the leader
    Given 5 voters in 3 halls
    When the hall with the first seed is lost, and a box elsewhere starts again
    Then it holds a lease within 1.2 s

  Scenario: A large hall that is lost with the leader is named no more
    Given 5 voters in 3 halls
    When the hall with the leader, of 24 boxes, is lost
    Then no box that is reached names a lost one 4 s after the loss

  Scenario: Orders to ranks go by boxes that are heard of
    Given 5 voters in 3 halls
    When a hall is cut off, and 12 orders to ranks are given elsewhere
    Then none goes to a box in it, and each other box without a disk gets some

  Scenario: Where boxes allow only a majority in one hall, it is said
    Given 3 boxes with a disk in north, one in south and one in west
    When they form, and another one in south starts later
    Then a gauge and one line say that the loss of north stops the log
    And later that it does not, with voters in north 2 and in south 2
