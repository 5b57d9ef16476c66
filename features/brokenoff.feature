Feature: An answer that a runner has broken off never looks complete

  The caller gets a whole answer from another runner, an error, or a stream
  without an end, whatever marks the end of the answer: a length, a last chunk
  or the end of its connection.

  # Guards against broken-off answers that reach the caller as complete ones,
  # and against second runs of requests that may run only once. Not listed are
  # answers without a length that close where they would look complete: plain
  # ones after the head, and streams between two events, while the runner
  # goes on accepting connections.
  Scenario Outline: A runner <manner> <place> of an answer framed by <framing>
    Given a runner that <manner> <place> of an answer framed by <framing>
    Then a safe request gets <safe>
    And an unsafe request gets <unsafe>
    And a stream that may be resumed gets <resumable>
    And a stream that may not be resumed gets <once>

    Examples:
      | framing | place                 | manner | safe  | unsafe | resumable | once     |
      | any     | before the head       | closes | whole | 502    | whole     | 502      |
      | any     | before the head       | resets | whole | 502    | whole     | 502      |
      | any     | before the head       | stalls | 504   | 504    | 504       | 504      |
      | any     | within the head       | closes | whole | 502    | whole     | 502      |
      | any     | within the head       | resets | whole | 502    | whole     | 502      |
      | any     | within the head       | stalls | 504   | 504    | 504       | 504      |
      | length  | after the head        | closes | whole | 502    | whole     | 0 events |
      | chunks  | after the head        | closes | whole | 502    | whole     | 0 events |
      | close   | after the head        | closes | -     | -      | whole     | 0 events |
      | any     | after the head        | resets | whole | 502    | whole     | 0 events |
      | any     | after the head        | stalls | 504   | 504    | 0 events  | 0 events |
      | length  | within the body       | closes | whole | 502    | whole     | 2 events |
      | chunks  | within the body       | closes | whole | 502    | whole     | 2 events |
      | close   | within an event       | closes | -     | -      | whole     | 2 events |
      | any     | within the body       | resets | whole | 502    | whole     | 2 events |
      | any     | within the body       | stalls | 504   | 504    | 2 events  | 2 events |
      | length  | between two events    | closes | -     | -      | whole     | 2 events |
      | chunks  | between two events    | closes | -     | -      | whole     | 2 events |
      | any     | between two events    | resets | -     | -      | whole     | 2 events |
      | any     | between two events    | stalls | -     | -      | 2 events  | 2 events |
      | length  | at the end            | resets | whole | whole  | whole     | whole    |
      | chunks  | before the last chunk | closes | whole | 502    | whole     | 5 events |
      | chunks  | before the last chunk | resets | whole | 502    | whole     | 5 events |
      | chunks  | before the last chunk | stalls | 504   | 504    | 5 events  | 5 events |
      | close   | at the end            | closes | whole | whole  | whole     | whole    |
      | close   | at the end            | resets | whole | 502    | whole     | 5 events |
      | close   | at the end            | stalls | 504   | 504    | 5 events  | 5 events |
