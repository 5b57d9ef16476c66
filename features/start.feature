Feature: Fast starts of processes, which accept callers early

  All processes may be started at once, on boxes with half a core. Callers
  that are refused everywhere use up their attempts before the first of the
  processes listens.

  Scenario Outline: The start of the <role> imports no library that it does not use
    When the modules of <role> are imported in a new interpreter
    Then no library with a slow import is among them

    Examples:
      | role    |
      | entry   |
      | sidecar |

  Scenario: A caller that connects during the imports gets a response
    Given a settings file in JSON that names a callers' address
    When a socket listens there early and a caller sends a request
    And a server is run on that socket
    Then the caller gets the complete response

  # Guards against a SIGHUP that ends a process soon after its start.
  Scenario Outline: A SIGHUP while <program> imports <module> does not end it
    When <program> gets a SIGHUP as it imports <module>, with no settings file
    Then it ends with the error code of bad settings

    Examples:
      | program           | module              |
      | platform entry    | mountridge.net    |
      | platform entry    | mountridge.logs   |
      | platform entry    | mountridge.settings |
      | platform sidecar  | mountridge.logs   |
      | mountridge entry  | mountridge.cli    |
      | mountridge entry  | mountridge.entry  |
      | script entry      | mountridge.cli    |

  # Guards against a change of settings that is missed during a start.
  Scenario: Settings that change during a start are applied
    Given the settings of an entry in both formats
    When its file changes after it was loaded, and its watch begins
    Then the changed seeds are applied

  # Guards against a sidecar that reports to nobody once all controllers that it
  # knew are replaced.
  Scenario: A sidecar uses the seeds of a settings file that changes
    Given a sidecar with the settings of a file
    When the seeds in its file change while it runs
    Then it asks the new seeds for the leader too

  Scenario Outline: No early socket is opened for a settings file that is <file>
    Given a settings file that is <file>
    Then no socket listens early

    Examples:
      | file                       |
      | missing                    |
      | written in YAML            |
      | without a callers' address |
      | with an address in use     |

  Scenario: Settings are the same in JSON and in YAML
    Given the settings of an entry in both formats
    Then both are loaded as the same settings

  Scenario: A settings file that is neither is rejected
    Given a settings file that is broken
    Then it is rejected with the error code and its path

  Scenario Outline: The platform's <role> finds all of its imports
    When the platform starts the <role> with no settings file
    Then it ends with the error code of bad settings

    Examples:
      | role    |
      | entry   |
      | sidecar |
