Feature: The product depends on no deployment, day or bench

  Scenario: No source of the product names one
    Then no line of the product names a deployment, a day or a bench
