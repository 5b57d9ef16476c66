Feature: The sources follow the rules for names and imports

  A source that names a deployment or imports a higher layer can't be reused,
  and a mutant whose snippet occurs twice shows nothing.

  Scenario: No source of the product names a deployment or a benchmark
    Then no line of the product names a deployment, one of its days or a benchmark

  Scenario: Packages only import lower layers
    Then no package of the product imports one of a higher layer
    And no package imports a program

  Scenario: The snippet of each mutant is unique
    Then the snippet that each mutant replaces occurs once in its module
