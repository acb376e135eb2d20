Feature: An established flow survives any planned change

  Background:
    Given the Authority's fleet
    And 70 open feeds to "berth-desk"

  Scenario: feeds go on while nothing happens
    When 60 seconds pass
    Then no feed broke
    And no packet reached another service

  Scenario: each server is drained and replaced
    When each server of "berth-desk" is replaced, 20 seconds apart
    And 60 seconds pass
    Then no feed broke
    And no packet reached another service

  Scenario: each balancer is replaced
    When each balancer is replaced, 20 seconds apart
    And 60 seconds pass
    Then no feed broke

  Scenario: servers join in a burst
    When 3 servers of "berth-desk" join
    And 60 seconds pass
    Then no feed broke
    And no packet reached another service

  Scenario: a configuration is applied under open feeds
    When the operator declares "crane-desk" on 2 servers
    And the operator applies the configuration
    And 60 seconds pass
    Then no feed broke
    And no packet reached another service

  Scenario: an agent restarts and finds its feeds again
    When the agent of server 1 of "berth-desk" restarts
    And 60 seconds pass
    Then no feed broke

  Scenario: an address moves from one service to another
    When the operator moves the address of "manifest-office" to "berth-desk"
    And updates arrive up to 2 seconds late
    And 30 seconds pass
    Then no feed broke
    And no packet reached another service

  Scenario: a server dies and only its own feeds end
    When server 1 of "berth-desk" is killed
    And 60 seconds pass
    Then only feeds of dead servers broke
    And no packet reached another service

  Scenario: a server stands still for a moment
    When server 1 of "berth-desk" is paused for 1.5 seconds
    And 60 seconds pass
    Then no feed broke

  Scenario: a server stands still for long and comes back
    When server 1 of "berth-desk" is paused for 15 seconds
    And 60 seconds pass
    Then only feeds of dead servers broke
    And no packet reached another service
