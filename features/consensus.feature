Feature: One log over three or five controllers, under faults

  Scenario Outline: <count> controllers commit through <fault> at <moment>
    Given <count> controllers
    When commands are committed
    And the leader suffers <fault> <moment>
    And commands are offered for 5 s
    And the faults end
    Then all that was acknowledged is there, on all controllers, once
    And a read confirmed by a quorum sees it

    Examples:
      | count | fault                | moment                |
      | 3     | a kill               | before it sends       |
      | 3     | a kill               | after it sent         |
      | 3     | a kill               | after a follower has it |
      | 3     | a kill               | after it acknowledged |
      | 5     | a kill               | after it sent         |
      | 5     | a kill               | after it acknowledged |
      | 3     | a restart            | before it sends       |
      | 3     | a restart            | after it sent         |
      | 3     | a restart            | after a follower has it |
      | 3     | a restart            | after it acknowledged |
      | 3     | a freeze and thaw    | before it sends       |
      | 3     | a freeze and thaw    | after it sent         |
      | 3     | a freeze and thaw    | after it acknowledged |
      | 5     | a freeze and thaw    | after it sent         |
      | 3     | a cut both ways      | before it sends       |
      | 3     | a cut both ways      | after it sent         |
      | 3     | a cut both ways      | after it acknowledged |
      | 5     | a cut both ways      | after it sent         |
      | 3     | a cut of its sends   | after it sent         |
      | 3     | a cut of its hearing | after it sent         |
      | 5     | a cut of its hearing | after it acknowledged |
      | 3     | lost messages        | before it sends       |
      | 5     | lost messages        | after it sent         |
      | 3     | doubled messages     | after it sent         |
      | 5     | doubled messages     | before it sends       |
      | 3     | late, crossed ones   | after it sent         |
      | 5     | late, crossed ones   | after it acknowledged |
      | 3     | a slow disk          | after it sent         |

  Scenario: A leader just elected stays in charge until it can be heard
    Given 3 controllers
    When the first leader is elected
    Then it leads still, in the same term, 5 s later

  Scenario: A leader cut off in silence stops deciding before another starts
    Given 3 controllers
    When commands are committed
    And the leader is cut off while its clients go on
    Then at no moment do two controllers hold the leader's lease
    And nothing is acknowledged by the one that was cut off

  Scenario: A leader that was frozen holds no lease from its first moment
    Given 3 controllers
    When commands are committed
    And the leader is frozen until another one leads, and thaws
    Then it holds no lease before it has heard of the other

  Scenario Outline: A vote is not given to <candidate>
    Given 3 controllers
    When commands are committed
    Then a follower does not vote for <candidate>

    Examples:
      | candidate                                  |
      | one who asks while the leader is heard     |
      | one who asks just after the follower began |
      | one with a shorter log                     |
      | a second one in the same term              |

  Scenario: A read waits for a quorum that answers after it was asked
    Given 3 controllers
    When commands are committed
    And the leader is cut off and a read is asked of it
    Then the read is never confirmed

  Scenario: A leader commits nothing of earlier terms by counting copies
    Given 3 controllers
    Then an entry of an earlier term on a quorum is not yet committed

  Scenario: What is not synced does not count
    Given 3 controllers
    When commands are committed
    And all disks become slow and a command is offered
    Then it is not acknowledged before a quorum has synced it

  Scenario: A leader does not count its own copy before it is synced
    Given 3 controllers
    When commands are committed
    And a follower is lost and the leader's disk becomes slow
    Then a command is not acknowledged before the leader has synced it

  Scenario: A controller that was away for hundreds of changes catches up
    Given 3 controllers
    When commands are committed
    And a follower is down for 400 changes and snapshots
    Then all that was acknowledged is there, on all controllers, once

  Scenario: A second box is lost right after the first repair
    Given 3 controllers
    When commands are committed
    And a follower loses its disk and is replaced by "c9"
    And another follower loses its disk at once
    And commands are offered for 5 s
    Then all that was acknowledged is there, on all controllers, once

  Scenario: A box with an empty disk does not vote under its old name
    Given 3 controllers
    When commands are committed
    And a follower comes back with an empty disk and the leader is lost
    Then no leader is elected in 5 s

  Scenario Outline: What operators may not do is refused: <change>
    Given 3 controllers
    When commands are committed
    Then "<change>" is refused because "<reason>"

    Examples:
      | change                          | reason                   |
      | two voters at once              | one voter at a time      |
      | a voter that was never a learner| is not a learner         |
      | a learner that has heard nothing| has not replied recently |
      | a learner far behind            | entries behind           |
      | a change during a change        | not yet committed        |

  Scenario: Leadership is handed over on a planned stop with no pause
    Given 3 controllers
    When commands are committed
    And the leader hands over
    Then another one leads within 0.2 s
    And the old one holds no lease from the moment it began

  Scenario Outline: After a start of all <count> the next leader is there soon
    Given <count> controllers
    When commands are committed
    And all controllers are killed and start again over 0.1 s
    Then one leads within 0.2 s of the last start
    And all that was acknowledged is there, on all controllers, once

    Examples:
      | count |
      | 1     |
      | 3     |
      | 5     |

  Scenario: A voter that starts anew waits where the leader can't be asked
    Given 3 controllers
    When commands are committed
    And the leader is cut off, and one of its followers starts anew
    Then at no moment do two controllers hold the leader's lease

  Scenario Outline: A voter that starts anew gives no vote before <event>
    Given 3 controllers
    When commands are committed
    And all controllers are killed and one starts again
    Then it gives no vote before <event>

    Examples:
      | event                                                         |
      | the last leader has said that it does not lead                |
      | the last leader has said so to this start, not an earlier one |
      | silence tells it, where its log ends in an earlier term       |
      | all voters have said so, where a snapshot hides who led       |

  Scenario: A leader never says that it does not lead
    Given 3 controllers
    When commands are committed
    Then the leader does not answer one that has just started

  Scenario Outline: A box that has lost its disk speaks for <whom>
    Given a replica on box "c1" with a fresh identity
    When one that has started anew asks "<asked>" at its address
    Then the answer is <answer>

    Examples:
      | whom                       | asked  | answer                  |
      | its former identity        | c1.old | that this does not lead |
      | no other box's identity    | c2.old | none                    |

  Scenario: Random schedules keep the log whole
    Given 40 random schedules of faults over 3 and 5 controllers
    Then in each of them nothing acknowledged is lost, doubled or reordered
