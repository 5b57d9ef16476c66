Feature: A replicated log on three or five controllers, under faults

  A change that was acknowledged must survive any fault that a majority of
  controllers survives, and no two leaders may act at the same time.

  Scenario Outline: <count> controllers recover from <fault> <moment>
    Given <count> controllers
    When commands are committed
    And the leader suffers <fault> <moment>
    And commands are proposed for 5 s
    And the faults end
    Then all acknowledged commands are applied once, on all controllers
    And a read confirmed by a quorum returns them

    Examples:
      | count | fault               | moment                          |
      | 3     | a crash             | before the entry is sent        |
      | 3     | a crash             | after the entry is sent         |
      | 3     | a crash             | after a follower has the entry  |
      | 3     | a crash             | after the entry is acknowledged |
      | 5     | a crash             | after the entry is sent         |
      | 5     | a crash             | after the entry is acknowledged |
      | 3     | a restart           | before the entry is sent        |
      | 3     | a restart           | after the entry is sent         |
      | 3     | a restart           | after a follower has the entry  |
      | 3     | a restart           | after the entry is acknowledged |
      | 3     | a pause             | before the entry is sent        |
      | 3     | a pause             | after the entry is sent         |
      | 3     | a pause             | after the entry is acknowledged |
      | 5     | a pause             | after the entry is sent         |
      | 3     | a partition         | before the entry is sent        |
      | 3     | a partition         | after the entry is sent         |
      | 3     | a partition         | after the entry is acknowledged |
      | 5     | a partition         | after the entry is sent         |
      | 3     | lost outgoing links | after the entry is sent         |
      | 3     | lost incoming links | after the entry is sent         |
      | 5     | lost incoming links | after the entry is acknowledged |
      | 3     | message loss        | before the entry is sent        |
      | 5     | message loss        | after the entry is sent         |
      | 3     | duplicated messages | after the entry is sent         |
      | 5     | duplicated messages | before the entry is sent        |
      | 3     | reordered messages  | after the entry is sent         |
      | 5     | reordered messages  | after the entry is acknowledged |
      | 3     | a slow disk         | after the entry is sent         |

  Scenario: A new leader does not step down before its first replies arrive
    Given 3 controllers
    When the first leader is elected
    Then it still leads in the same term 5 s later

  Scenario: A partitioned leader loses its lease before a new leader has one
    Given 3 controllers
    When commands are committed
    And the leader is partitioned while clients propose commands to it
    Then two controllers never hold the leader's lease at the same time
    And the partitioned leader acknowledges nothing

  Scenario: A paused leader holds no lease when it resumes
    Given 3 controllers
    When commands are committed
    And the leader is paused until another one leads, and resumes
    Then it holds no lease before it receives a message

  Scenario Outline: No vote is granted to <candidate>
    Given 3 controllers
    When commands are committed
    Then a follower does not vote for <candidate>

    Examples:
      | candidate                                    |
      | a candidate while there is a leader          |
      | a candidate just after the follower restarts |
      | a candidate with a shorter log               |
      | a second candidate in the same term          |

  Scenario: A read is confirmed only by replies to messages sent after it
    Given 3 controllers
    When commands are committed
    And the leader is partitioned and a read is requested from it
    Then the read is never confirmed

  Scenario: A leader does not commit entries of earlier terms by their copies
    Given 3 controllers
    Then an entry of an earlier term on a quorum is not yet committed

  Scenario: Entries that are not synced do not count for the quorum
    Given 3 controllers
    When commands are committed
    And all disks become slow and a command is proposed
    Then it is not acknowledged before a quorum has synced it

  Scenario: A leader does not count its own copy before it is synced
    Given 3 controllers
    When commands are committed
    And a follower is lost and the leader's disk becomes slow
    Then a command is not acknowledged before the leader has synced it

  Scenario: A controller that missed hundreds of changes catches up
    Given 3 controllers
    When commands are committed
    And a follower is down for 400 changes and snapshots
    Then all acknowledged commands are applied once, on all controllers

  Scenario: A second box is lost right after the first is replaced
    Given 3 controllers
    When commands are committed
    And a follower loses its disk and is replaced by "c9"
    And another follower loses its disk immediately
    And commands are proposed for 5 s
    Then all acknowledged commands are applied once, on all controllers

  Scenario: A box with an empty disk does not vote under its former identity
    Given 3 controllers
    When commands are committed
    And a follower restarts with an empty disk and the leader is lost
    Then no leader is elected in 5 s

  Scenario Outline: A forbidden change is refused: <change>
    Given 3 controllers
    When commands are committed
    Then "<change>" is refused because "<reason>"

    Examples:
      | change                              | reason                   |
      | two voters at once                  | one voter at a time      |
      | a voter that was never a learner    | is not a learner         |
      | a learner that has received nothing | has not replied recently |
      | a learner far behind                | entries behind           |
      | a change during a change            | not yet committed        |

  Scenario: A leadership transfer on a planned stop has no gap
    Given 3 controllers
    When commands are committed
    And the leader transfers its leadership
    Then another one leads within 0.2 s
    And the former leader holds no lease from the start of the transfer

  Scenario Outline: After a restart of all <count> a leader is elected soon
    Given <count> controllers
    When commands are committed
    And all controllers are killed and restart over 0.1 s
    Then one leads within 0.2 s of the last start
    And all acknowledged commands are applied once, on all controllers

    Examples:
      | count |
      | 1     |
      | 3     |
      | 5     |

  Scenario: A restarted voter waits if it cannot query the leader
    Given 3 controllers
    When commands are committed
    And the leader is partitioned, and one of its followers restarts
    Then two controllers never hold the leader's lease at the same time

  Scenario Outline: A restarted voter grants no vote before <event>
    Given 3 controllers
    When commands are committed
    And all controllers are killed and one restarts
    Then it grants no vote before <event>

    Examples:
      | event                                                              |
      | the last leader has denied that it leads                           |
      | the last leader has denied it to this start, not to an earlier one |
      | the election timeout, if its log ends in an earlier term           |
      | all voters have denied it, if the leader's entry is compacted      |

  Scenario: A leader never denies that it leads
    Given 3 controllers
    When commands are committed
    Then the leader does not reply to a restarted controller

  Scenario Outline: A box that has lost its disk replies for <identity>
    Given a replica on box "c1" with a new identity
    When a restarted controller queries "<target>" at its address
    Then the reply is <reply>

    Examples:
      | identity                | target | reply                     |
      | its former identity     | c1.old | that it is not the leader |
      | no other box's identity | c2.old | none                      |

  # Guards against callers that wait for ever: a leader that was cut off for long
  # gets a snapshot in place of the entries that would decide its proposals.
  Scenario: Proposals that a snapshot overtakes are answered
    Given a replica on box "c1" with a new identity
    And it waits for the entries 5, 9 and 12 that it proposed
    When it gets a snapshot up to entry 9 from the leader
    Then those who proposed 5 and 9 are told that it does not lead
    And the one who proposed 12 still waits

  Scenario: Random schedules of faults keep the log consistent
    Given 40 random schedules of faults over 3 and 5 controllers
    Then no acknowledged command is lost, duplicated or reordered
