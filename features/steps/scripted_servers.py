"""Servers whose connections are handled by the script of a step."""

import asyncio


async def start_scripted_server(serve, host, port):
    """Start a server whose scripts end by themselves when they are cancelled.

    Some versions of ``asyncio.streams`` read the exception of a handler in a callback,
    which raises if the handler was cancelled.
    """

    async def run_script(reader, writer):
        try:
            await serve(reader, writer)
        except asyncio.CancelledError:
            writer.close()

    return await asyncio.start_server(run_script, host, port)
