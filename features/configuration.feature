Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given the Authority's fleet

  Scenario: a change is in force everywhere within seconds
    When the operator declares "crane-desk" on 2 servers
    And the operator applies the configuration
    And 30 seconds pass
    Then the operator heard that the change is accepted
    And every accepted version was in force everywhere within 10 seconds
    And no process went back to an older version

  Scenario: the store goes down as soon as the change is accepted
    When the operator applies another drain limit
    And the store goes down
    And 30 seconds pass
    Then every accepted version was in force everywhere within 10 seconds
    And no process went back to an older version

  Scenario: a balancer that joins in an outage takes the newest version
    When the store goes down
    And 2 balancers join
    And 30 seconds pass
    Then every live process has the newest version
    And no process went back to an older version

  Scenario: answers of the store are lost after the write took effect
    When the store loses 60% of its answers
    And the operator applies another drain limit
    And 60 seconds pass
    Then each operator heard the truth
    And no process went back to an older version

  Scenario: operators race each other with conflicting changes
    When 3 operators apply different drain limits at once
    And 60 seconds pass
    Then each operator heard the truth
    And no process went back to an older version
    And every live process has the newest version

  Scenario: a paused balancer wakes up with old news
    When balancer 1 is paused for 40 seconds
    And the operator applies another drain limit
    And 60 seconds pass
    Then no process went back to an older version
    And every live process has the newest version
