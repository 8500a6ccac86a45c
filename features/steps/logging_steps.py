"""Steps for the log output."""

import fcntl
import logging
import os
import re
import time

from behave import given, then, when

from wagtailstep.utils.logging import BoundedHandler, log_event

F_SETPIPE_SZ = 1031
PIPE_BYTES = 4_096


def open_log(context, pipe_bytes):
    context.reading, writing = os.pipe()
    fcntl.fcntl(writing, F_SETPIPE_SZ, pipe_bytes)
    os.set_blocking(context.reading, False)
    context.seconds = 7.2
    handler = BoundedHandler(writing, lambda: context.seconds)
    context.logger = logging.Logger("test")
    context.logger.addHandler(handler)
    context.handler = handler
    context.lines = []
    context.add_cleanup(os.close, writing)
    context.add_cleanup(os.close, context.reading)


def read_lines(context):
    data = b""
    try:
        while chunk := os.read(context.reading, 65_536):
            data += chunk
    except BlockingIOError:
        pass
    context.lines += data.decode().splitlines()
    return context.lines


@given("a log with room for all its lines")
def open_roomy_log(context):
    open_log(context, 1 << 20)


@given("a log whose reader has stopped")
def open_stopped_log(context):
    open_log(context, PIPE_BYTES)


@when("{routine:d} routine lines and {failures:d} failures are logged within a second")
def log_both(context, routine, failures):
    for number in range(max(routine, failures)):
        if number < routine:
            log_event(context.logger, "went-well", routine=True, number=number)
        if number < failures:
            log_event(context.logger, "went-wrong", number=number)
    log_event(context.logger, "last")


@when("{count:d} failures are logged")
def log_failures(context, count):
    context.count = count
    started = time.process_time()
    for number in range(count):
        log_event(context.logger, "went-wrong", number=number)
    context.took_s = time.process_time() - started


@then("that took no more than {limit:d} s of processor time")
def check_time(context, limit):
    assert context.took_s <= limit, context.took_s


@when("the reader goes on and one more line is logged")
def read_on(context):
    read_lines(context)
    log_event(context.logger, "last")


def count_lines(context, event):
    return sum(f"event={event}" in line for line in read_lines(context))


@then("{routine:d} routine lines and {failures:d} failures are written")
def check_written(context, routine, failures):
    assert count_lines(context, "went-well") == routine
    assert count_lines(context, "went-wrong") == failures


def missing_lines(context, name):
    text = "\n".join(read_lines(context))
    return sum(int(number) for number in re.findall(rf"{name}=(\d+)", text))


@then("{count:d} lines are said to be left out")
def check_left_out(context, count):
    assert missing_lines(context, "routine") == count, context.lines


@then("all lines that are missing were counted")
def check_counted(context):
    written = count_lines(context, "went-wrong")
    assert written < context.count
    assert written + missing_lines(context, "dropped") == context.count
