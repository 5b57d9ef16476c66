Feature: Nothing is taken for complete without evidence

  A connection that closes is evidence of the end only where nothing better can
  exist. Whoever reads an answer, a stream or a report needs another.

  # Guards against the reuse of a connection on which a response was sent only
  # in part, so that the next response completes it.
  Scenario Outline: A connection on which <part> was cancelled is not used again
    When the deadline passes while a caller does not read <part>
    Then the caller finds its response incomplete, and no response behind it

    Examples:
      | part                |
      | a complete response |
      | the end of a stream |
      | an event            |
