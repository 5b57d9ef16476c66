Feature: A controller's data folder

  Acknowledged entries must survive crashes, full disks and damage, or the
  folder must be refused.

  Scenario Outline: A journal that a crash truncates <where> opens
    Given a data folder with 5 synced frames
    When the journal is truncated <where>
    Then it opens with <frames> frames and reports truncated bytes

    Examples:
      | where                          | frames |
      | inside the last frame's body   | 4      |
      | inside the last frame's header | 4      |
      | one byte before its end        | 4      |

  Scenario Outline: Damage before the end is refused: <where>
    Given a data folder with 5 synced frames
    When a bit is flipped in <where>
    Then opening it is refused with code 1701 and reports the damage
    And "storage check" exits 1 with the code

    Examples:
      | where             |
      | the first frame   |
      | the third frame   |
      | the snapshot      |
      | the format        |

  Scenario: A flipped bit in the last frame counts as an incomplete write
    Given a data folder with 5 synced frames
    When a bit is flipped in the last frame
    Then it opens with 4 frames and reports truncated bytes

  Scenario Outline: After a failed <call> all writes fail
    Given a data folder with 5 synced frames
    When <call> fails with "<error>" at the next save
    Then the save raises code 1700 and so does every later one
    And the folder opens again with at least 5 frames

    Examples:
      | call  | error              |
      | write | input/output error |
      | sync  | sync failed        |

  Scenario: A write that fails on a full disk succeeds once there is space
    Given a data folder with 5 synced frames
    When the disk has space for only half of the next frame
    Then the save raises code 1702, and code 0 once there is space
    And the folder opens again with exactly 6 frames and nothing truncated

  Scenario: A folder is used by one process at a time
    Given a data folder with 5 synced frames
    Then opening it twice is refused with code 1700

  Scenario: A crash at any step of a snapshot loses no entries
    Given a data folder with 5 synced frames
    Then a crash at each step of a snapshot at entry 3 leaves entries 1 to 5

  Scenario: The files of a snapshot are renamed only once they are synced
    Given a data folder with 5 synced frames
    Then each file of a snapshot is synced before it is renamed

  # Guards against a process that ends as two snapshots are written at once.
  Scenario: A journal is rotated while another snapshot is being written
    Given a data folder with 5 synced frames
    When its journal is rotated at entry 3 while a snapshot is being written
    Then the folder opens again at entry 3, and the part was kept meanwhile

  Scenario: An existing folder is not initialized again
    Given a data folder with 5 synced frames
    Then initializing it again is refused with code 1700

  Scenario: Random truncations and bit flips never yield wrong entries
    Given a data folder with 5 synced frames
    Then 150 random truncations and flips yield a prefix or a refusal

  # Guards against keys that are lost because another pair takes their name.
  Scenario Outline: A key pair is not made where its <kept> exists
    Given a key folder that has only the <kept> of "c1"
    Then making keys for "c2" and "c1" is refused with code 1501
    And all files are as before

    Examples:
      | kept       |
      | public key |
      | secret key |
