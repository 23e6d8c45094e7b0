"""
chalkyoke.node.inputflow

The flow control of uvicorn's connections, with a hold on reading that the application doesn't end.
"""

import asyncio
from collections.abc import Callable

from uvicorn.protocols.http.flow_control import FlowControl


class HoldableFlow(FlowControl):
    """Flow control whose reading can be held.

    The application resumes reading whenever it asks for more of a body. While reading is held, that
    takes effect at the release only.

    :param on_resumed: called whenever the application or the server asks for more input.
    """

    def __init__(self, transport: asyncio.Transport, on_resumed: Callable[[], None]) -> None:
        super().__init__(transport)
        self._on_resumed = on_resumed
        self._is_held = False

    def hold_reading(self) -> None:
        """Stop reading until the release."""
        self._is_held = True
        self._transport.pause_reading()

    def release_reading(self) -> None:
        """Read on, unless reading is paused."""
        self._is_held = False
        if not self.read_paused:
            self._transport.resume_reading()

    def resume_reading(self) -> None:
        """Read on, now or at the release."""
        self._on_resumed()
        if self._is_held:
            self.read_paused = False
        else:
            super().resume_reading()
