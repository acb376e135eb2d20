Feature: Other work keeps its share in a flood

  Background:
    Given the Authority's fleet
    And the usual work of "berth-desk" for 60 seconds

  Scenario: the least urgent work floods in
    When "shift-report" comes at 10 times its usual rate to "berth-desk" for 30 seconds
    And 80 seconds pass
    Then at least 97% of "slot-confirmation" were answered in time
    And at least 97% of "berth-query" were answered in time
    And the requests kept their promises

  Scenario: the most urgent work floods in
    When "slot-confirmation" comes at 10 times its usual rate to "berth-desk" for 30 seconds
    And 80 seconds pass
    Then at least 67.8% of "berth-query" were answered in time
    And at least 67.8% of "shift-report" were answered in time
    And the requests kept their promises

  Scenario: one flood follows the other
    When "shift-report" comes at 10 times its usual rate to "berth-desk" for 15 seconds
    And 15 seconds pass
    And "slot-confirmation" comes at 10 times its usual rate to "berth-desk" for 15 seconds
    And 60 seconds pass
    Then the requests kept their promises
    And at least 67.8% of "berth-query" were answered in time
