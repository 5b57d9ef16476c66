Feature: The product depends on no deployment, day or bench

  Scenario: No source of the product names one
    Then no line of the product names a deployment, a day or a bench

  Scenario: Packages are imported one way
    Then no package of the product imports one that stands above it
    And no package imports a program

  Scenario: Each mutant takes out what still stands
    Then what each mutant replaces stands once in its module
