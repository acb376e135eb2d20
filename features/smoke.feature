Feature: the scenario runner

  Scenario: virtual time stands where it was told to
    Given a clock
    When 5 seconds pass
    Then the time is 5 seconds
