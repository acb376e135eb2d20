Feature: Requests run at most once and end with a true verdict

  Background:
    Given the Authority's fleet

  Scenario: each request gets its own whole answer
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 20 seconds
    And callers send 100 "berth-query" a second to "berth-desk" for 20 seconds
    And 30 seconds pass
    Then the requests kept their promises
    And at least 97% of "slot-confirmation" were answered in time

  Scenario: answers come late and out of order
    When messages arrive up to 0.2 seconds late
    And callers send 30 "slot-confirmation" a second to "berth-desk" for 20 seconds
    And 30 seconds pass
    Then the requests kept their promises

  Scenario: balancers die while requests run
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 60 seconds
    And each balancer is killed and replaced, 15 seconds apart
    And 30 seconds pass
    Then the requests kept their promises

  Scenario: servers die while requests run
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 30 seconds
    And 5 seconds pass
    And server 1 of "berth-desk" is killed
    And 5 seconds pass
    And server 2 of "berth-desk" is killed
    And 40 seconds pass
    Then the requests kept their promises

  Scenario: an agent restarts while requests run
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 30 seconds
    And 5 seconds pass
    And the agent of server 1 of "berth-desk" restarts
    And 40 seconds pass
    Then the requests kept their promises

  Scenario: a server is paused and goes on
    When callers send 30 "slot-confirmation" a second to "berth-desk" for 40 seconds
    And 5 seconds pass
    And server 1 of "berth-desk" is paused for 15 seconds
    And 60 seconds pass
    Then the requests kept their promises

  Scenario: the net loses and doubles messages
    When the net loses 10% of messages and doubles 10%
    And callers send 30 "slot-confirmation" a second to "berth-desk" for 20 seconds
    And 30 seconds pass
    Then the requests kept their promises
