"""A transport that records written bytes, for tests of protocols without sockets."""


class RecordingTransport:
    def __init__(self):
        self.written = b""
        self.closed = False
        self.aborted = False
        self.ended = False
        self.reading = True
        self.unsent = 0

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = self.aborted = True

    def is_closing(self):
        return self.closed

    def get_write_buffer_size(self):
        return self.unsent

    def set_write_buffer_limits(self, high):
        pass

    def can_write_eof(self):
        return True

    def write_eof(self):
        self.ended = True

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def get_extra_info(self, _):
        return None
