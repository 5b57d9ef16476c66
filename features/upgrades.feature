Feature: Two builds side by side

  Boxes are replaced one after the other, in any order and back again, while
  old and new builds serve. samples/formats has the bytes of each format
  level, recorded from the first build of that level.

  Scenario: No format changes without a sample of its level
    Then each record of this build is encoded as in the sample of its level
    And the fields of all record types are those of that sample
    And there is a sample of each level, and none of a later one

  Scenario: The bytes of all earlier builds are read
    Then the records and the folder in each sample are read

  Scenario: Kinds and fields are only added at the end
    Then the kinds and fields of this build begin with those of each sample

  Scenario Outline: Fields that only a later build knows are ignored: <family>
    When each record of the <family> has one more field, at any depth
    Then each of them is read as if it had not

    Examples:
      | family    |
      | messages  |
      | consensus |
      | commands  |
      | view      |
      | config    |

  Scenario: A record of a later build with malformed known fields is refused
    When a message of a later build has a text in place of a number
    Then reading it fails with code 1600

  Scenario: Fields of a later build are kept in the state and its snapshots
    Given a state with a runner and a member that a later build registered
    When a runner of it changes its state
    Then the view and the snapshot still have the fields of the later build
    And a snapshot of a later build is repeated with its fields after a restart

  Scenario: A set of controllers keeps the fields of a later build
    Given a set of controllers with a field of a later build
    When a controller is added and another one is removed
    Then the set still has that field

  Scenario: A call that only a later build knows gets a coded answer
    Given a controller process
    When it receives a call of a kind that it does not know
    Then the answer has code 1601
    And the next call on that connection is answered

  Scenario: A majority of later builds is not followed by a box of this one
    Given 5 voters, of which the leader and 2 more are of a later build
    When the leader commits a command that only the later build knows
    Then the voters of this build have not applied it, and log code 1602
    And changes are still acknowledged
    When the voters of this build are replaced by the later one
    Then all voters have the same state, with that command

  Scenario: A minority of later builds loses the leadership
    Given 5 voters, of which the leader and 1 more are of a later build
    When the leader proposes a command that only the later build knows
    Then a voter of this build leads soon, and changes are acknowledged
    And all voters have the same state, without that command

  Scenario: A box that returns to this build after a later one's command ends
    Given 5 voters, of which the leader and 4 more are of a later build
    When the leader commits a command that only the later build knows
    And a voter is replaced by one of this build
    Then its process ends with code 1602, and changes are still acknowledged

  Scenario: A process names its build and its format level
    Given a controller process
    Then its log line at the start has the build and the format level
    And "mountridge version" and "mountridge dump" print the same

  Scenario: An installed process starts without reading its sources
    Given a name that the installation has stored
    Then it is the name of the build, and no source file is read
