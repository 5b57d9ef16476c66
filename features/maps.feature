Feature: Every step uses one expert map, and experts move only if it pays off

  Ranks that use different maps in one step exchange the wrong data, and
  moving experts costs time that a short-lived gain does not repay.

  Scenario Outline: All <ranks> ranks use one map per step while <fault>
    Given a group of <ranks> ranks in lock-step
    When maps are opened and adopted for 1500 ticks while <fault>
    Then no step used two maps
    And the ranks made progress and adopted new maps

    Examples:
      | ranks | fault |
      | 4     | nothing fails |
      | 4     | messages are lost |
      | 4     | messages are delayed and reordered |
      | 4     | a rank repeatedly crashes and restarts |
      | 4     | a rank repeatedly freezes and resumes |
      | 4     | the coordinator repeatedly fails over |
      | 4     | all faults occur together |
      | 64    | messages are delayed and reordered |
      | 64    | all faults occur together |

  Scenario: No step uses two maps over random schedules of all faults
    Given a group of 5 ranks in lock-step
    Then in 60 random schedules no step used two maps

  Scenario Outline: A plan moves experts only if it pays off: <case>
    Given a group of 16 ranks with a skewed load and <case>
    Then the plan <outcome>

    Examples:
      | case                          | outcome |
      | weights that prefer low skew  | lowers the skew by at least half |
      | weights that prefer few moves | moves fewer experts than the plan for low skew |
      | a load spike of one sample    | moves at most a third of what a lasting load would |
      | an even load                  | does not exist |
