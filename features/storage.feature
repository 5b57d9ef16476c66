Feature: A controller's data folder

  Scenario Outline: A journal cut <where> by a crash
    Given a data folder with 5 synced frames
    When the journal is cut <where>
    Then it opens with <frames> frames and says that it cut bytes

    Examples:
      | where                          | frames |
      | inside the last frame's body   | 4      |
      | inside the last frame's header | 4      |
      | one byte before its end        | 4      |

  Scenario Outline: Damage before the tail is refused: <where>
    Given a data folder with 5 synced frames
    When a bit is flipped in <where>
    Then opening it is refused with code 1701 and says what to do
    And "storage check" exits 1 with the code

    Examples:
      | where             |
      | the first frame   |
      | the third frame   |
      | the snapshot      |
      | the format        |

  Scenario: A flipped bit in the last frame reads as a cut write
    Given a data folder with 5 synced frames
    When a bit is flipped in the last frame
    Then it opens with 4 frames and says that it cut bytes

  Scenario Outline: A failed <call> is final
    Given a data folder with 5 synced frames
    When <call> fails with "<error>" at the next save
    Then the save raises code 1700 and so does every later one
    And the folder opens again with at least 5 frames

    Examples:
      | call  | error              |
      | write | input/output error |
      | sync  | sync failed        |

  Scenario: A frame that a full disk does not take is taken once there is room
    Given a data folder with 5 synced frames
    When the disk has room for only half of the next frame
    Then the save raises code 1702, and code 0 once there is room
    And the folder opens again with exactly 6 frames and nothing cut

  Scenario: A folder is used by one process at a time
    Given a data folder with 5 synced frames
    Then opening it twice is refused with code 1700

  Scenario: A snapshot replaces what it covers, and survives a crash at each step
    Given a data folder with 5 synced frames
    Then a crash at each step of a snapshot at entry 3 leaves entries 1 to 5

  Scenario: A snapshot takes its name only once it is synced
    Given a data folder with 5 synced frames
    Then each file of a snapshot is synced before it takes its name

  Scenario: A folder is never made twice
    Given a data folder with 5 synced frames
    Then making it again is refused with code 1700

  Scenario: Random cuts and flips never pass for good data
    Given a data folder with 5 synced frames
    Then 150 random cuts and flips end in the same entries, fewer, or a refusal
