Feature: Starts of processes, short and in sight of callers

  All processes may be started at once, on boxes with half a core. A caller
  that is refused everywhere has lost its tries by the time the first of them
  listens.

  Scenario Outline: The start of <role> loads no library that it does not use
    When the modules of <role> are imported in a new interpreter
    Then none of the costly libraries is among them

    Examples:
      | role    |
      | entry   |
      | sidecar |

  Scenario: A caller that comes while libraries are loaded is answered
    Given a settings file in JSON that names a callers' address
    When a socket listens there early and a caller sends a request
    And a server is run on that socket
    Then the caller gets the whole answer

  Scenario Outline: No early socket is opened for <file>
    Given a settings file that is <file>
    Then no socket listens early

    Examples:
      | file                      |
      | not there                 |
      | written in YAML           |
      | without callers' address  |
      | with an address that is taken |

  Scenario: Settings read the same in JSON and in YAML
    Given the settings of an entry in both forms
    Then both are checked to the same settings

  Scenario: A settings file that is neither is refused
    Given a settings file that is broken
    Then it is refused with its code and path

  Scenario Outline: The platform's <role> finds all that it imports at its start
    When the platform starts the <role> with no settings file
    Then it ends with the code of bad settings

    Examples:
      | role    |
      | entry   |
      | sidecar |
