Feature: A planned stop is graceful

  Background:
    Given the Authority's fleet

  Scenario: a leaving server gets no new work
    Given 20 open feeds to "berth-desk"
    When callers send 60 "berth-query" a second to "berth-desk" for 30 seconds
    And 5 seconds pass
    And server 1 of "berth-desk" is drained
    And 10 seconds pass
    Then leaving servers got no new work after 3 seconds
    And no feed broke

  Scenario: a leaving server gets no new flow from a balancer that was paused
    When balancer 1 is paused for 8 seconds
    And server 1 of "berth-desk" is drained
    And 4 seconds pass
    And 40 feeds are opened to "berth-desk"
    And 30 seconds pass
    Then leaving servers got no new work after 3 seconds
    And no feed broke

  Scenario: servers stop and cut no request
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 30 seconds
    And 5 seconds pass
    And server 1 of "berth-desk" is asked to stop
    And 5 seconds pass
    And server 2 of "berth-desk" is asked to stop
    And 40 seconds pass
    Then the planned stops cut no request
    And the requests kept their promises

  Scenario: balancers stop and cut no request
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 60 seconds
    And each balancer is replaced, 15 seconds apart
    And 30 seconds pass
    Then the planned stops cut no request
    And the requests kept their promises
