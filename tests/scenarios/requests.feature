Feature: Requests under load and faults

  Background:
    Given a system with lookups, bookings and scans behind 3 daemons

  Scenario: A booking sent again through another daemon runs once
    When a booking is sent through two daemons at once, and once more later
    Then each of the three answers is the same
    And the booking ran once

  Scenario: A coordinator is lost while a booking runs
    Given bookings take 2000 ms
    When a booking is sent through another daemon, and its coordinator is killed
    Then the outcome is told as unknown, or the answer is whole
    And a resend is told as unknown, or answered whole
    And the booking ran once

  Scenario: An upload goes on while its daemon is shut down
    When a daemon is told to stop while an upload is on its way
    Then the upload is answered whole, and the daemon ends with status 0

  Scenario: Overload is refused at once
    Given lookups take 100 ms
    When 200 lookups of 4 keys are sent at once
    Then those refused were refused soon, with a time to come back
    And no backend server had more in flight than its slots

  Scenario: A cold server gets no more than it bears once that is known
    Given the lookup servers are put into a cold start
    When lookups are sent for 3 s
    Then no lookup server was given more than it bears
